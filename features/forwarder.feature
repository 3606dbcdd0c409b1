Feature: Forwarder
  A call gets one reply, and is said not to have been taken only when nobody can have taken it.

  Scenario Outline: a call that was <history> is given up with <status>
    Given a call to be carried, with 1 second of patience
    When its way is: <history>
    And its patience is over
    Then it is replied with <status>, <again>
    And nothing more is replied, whatever is told later

    Examples:
      | history                                            | status | again                    |
      | sent to nobody                                     | 503    | saying when to come back |
      | sent to nobody, sent to nobody                     | 503    | saying when to come back |
      | sent, refused                                      | 503    | saying when to come back |
      | sent, refused, sent, refused                       | 503    | saying when to come back |
      | sent, sent, refused, refused                       | 503    | saying when to come back |
      | sent, refused, sent to nobody                      | 503    | saying when to come back |
      | sent                                               | 504    | with no more             |
      | sent, sent to nobody                               | 504    | with no more             |
      | sent, sent, refused                                | 504    | with no more             |
      | sent, refused, refused again, sent, refused again  | 504    | with no more             |
      | sent, refused, sent                                | 504    | with no more             |
      | sent, in doubt                                     | 504    | with no more             |
      | sent, in doubt, sent, refused                      | 504    | with no more             |
      | sent, refused, sent, in doubt, sent, refused       | 504    | with no more             |

  # Guards against: a process that stops ends with calls unanswered that it has read (LOST).
  Scenario Outline: when its process stops, a call that was <history> is given up at once with <status>
    Given a call to be carried, with 2 seconds of patience
    When its way is: <history>
    And its process stops
    Then it is replied with <status>, <again>
    And nothing more is replied, whatever is told later

    Examples:
      | history        | status | again                    |
      | sent to nobody | 503    | saying when to come back |
      | sent, refused  | 503    | saying when to come back |
      | sent           | 504    | with no more             |
      | sent, in doubt | 504    | with no more             |

  Scenario Outline: an answer after <history> is the one reply
    Given a call to be carried, with 1 second of patience
    When its way is: <history>
    And its answer is 200
    Then it is replied with 200, with no more
    And nothing more is replied, whatever is told later

    Examples:
      | history                       |
      | sent                          |
      | sent, sent                    |
      | sent, refused, sent           |
      | sent, in doubt, sent          |
      | sent, in doubt, sent, refused |

  Scenario: an answer that says when to come back passes that on
    Given a call to be carried, with 1 second of patience
    When its way is: sent
    And its answer is 429 and when to come back
    Then it is replied with 429, saying when to come back

  Scenario Outline: a call that is <state> is sent again under its token <when>
    Given a call to be carried, with 1 second of patience
    When its way is: <state>
    Then it is due again <when>, and not before

    Examples:
      | state          | when                       |
      | sent           | once an answer is overdue  |
      | sent to nobody | as soon as one may be found |
      | sent, refused  | as soon as one may be found |
      | sent, in doubt | at once                    |

  Scenario: no call is carried longer than what any may last
    Given a call to be carried, with 1000 seconds of patience
    When its way is: sent
    And the longest patience is over
    Then it is replied with 504, with no more

  Scenario: calls are carried apart from each other
    Given two calls to be carried, one with less patience
    When both are sent, and the second is answered
    Then each has its own reply

  Scenario: a daemon that knows nobody says that the call was not taken
    Given a front daemon that knows no control daemon
    When a client's call comes there and nobody is found
    Then the client is told 503 once, and when to come back

  Scenario: a daemon whose leader is silent says that the call may have been taken
    Given a front daemon that follows a leader
    When a client's call comes there and the leader is silent
    Then the client is told 504 once

  Scenario: a call refused by one who names the leader goes there at once, as the same call
    Given a front daemon that follows a leader
    When a client's call comes there and the leader names another
    Then the same call goes to the other at once
    When the other answers it, twice
    Then the client is told 200 once

  Scenario: a call that all refuse is sent again, and given up as not taken
    Given a front daemon that follows a leader
    When a client's call comes there and whoever is asked refuses it
    Then it was sent several times as the same call
    And the client is told 503 once, and when to come back

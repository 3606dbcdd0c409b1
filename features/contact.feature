Feature: Contact
  A control machine out of contact hands out nothing old, refuses nothing that was taken, and
  confirms nothing that does not hold.

  Scenario Outline: a machine that meets <scenario> is caught telling nothing untrue
    When a control machine meets <scenario> with seeds <seeds>
    Then no check of contact finds a fault

    Examples:
      | scenario         | seeds  |
      | cut-both         | 0 to 1 |
      | cut-in           | 0 to 1 |
      | cut-out          | 0 to 1 |
      | seeds-swapped    | 0 to 0 |
      | frozen           | 0 to 1 |
      | stopped-at-write | 0 to 0 |
      | stopped-at-send  | 1 to 1 |
      | stopped-at-append | 0 to 5 |

  Scenario Outline: the injected fault <injected> is found when a machine meets <scenario>
    Given the injected fault <injected>
    When a control machine meets <scenario> with seeds <seeds>
    Then some check of contact finds <fault>

    Examples:
      | injected             | scenario         | seeds  | fault                                    |
      | asks-without-end     | stopped-at-send  | 1 to 1 | s after it was asked for                 |
      | ends-on-own-clock    | cut-out          | 1 to 1 | s after it was asked for                 |
      | late-answers-written | stopped-at-write | 0 to 0 | after a newer one was acknowledged       |
      | waited-calls-taken   | frozen           | 1 to 1 | s after it was asked for                 |
      | lease-ignored        | cut-both         | 0 to 0 | was read after a newer one               |
      | doubt-unsaid         | cut-in           | 6 to 6 | is in force, though it was answered [503] |
      | taken-forgotten      | cut-in           | 1 to 1 | is refused when it is sent again         |
      | taken-forgotten      | stopped-at-append | 0 to 5 | is refused when it is sent again         |
      | refused-at-will      | cut-in           | 1 to 1 | still in force                           |

  Scenario: an end on the leader's clock comes no later than the patience it is for
    Given daemons whose steady clocks differ, and run up to CLOCK_DRIFT apart
    When readings of the leader's clock reach a daemon late, relayed and out of order
    Then what it takes the leader's clock to have passed is never ahead of that clock
    And an end that it reckons is never after the moment it is for

  Scenario: what a leader of an older term told is forgotten
    Given a daemon that heard a leader of term 4
    When a reading of term 3 comes, and one of term 5
    Then only that of term 5 counts

  Scenario Outline: a carried call <end> is <outcome>
    Given a leader that serves
    When a change is carried to it <end>
    Then that change is <outcome>

    Examples:
      | end                             | outcome                            |
      | with time left                  | taken                              |
      | whose end has come              | not taken, and nothing comes of it |
      | whose end is on another's clock | not taken, and nothing comes of it |
      | without an end                  | not taken, and nothing comes of it |

  Scenario: a call that is sent again with time left is taken, whatever became of older copies
    Given a leader that serves
    When a change is carried to it whose end has come
    And the same call is carried again with time left
    Then that change is taken

  Scenario: a leader whose lease is over answers nothing from its cluster state
    Given a leader of three that serves
    When its followers fall silent for longer than its lease
    And a change of the queue configuration on an older version is carried to it
    Then the caller is sent elsewhere, and not refused

  Scenario Outline: an answer that comes <when> its patience is <reply>
    Given a call to be carried, with 1 second of patience
    When its way is: sent
    And its answer comes <when> its patience
    Then it is replied with <reply>

    Examples:
      | when   | reply             |
      | within | 200, with no more |
      | after  | 504, with no more |

  Scenario: news that was asked for long ago does not make a front daemon's state fresh
    Given a front daemon that follows a leader
    When the answer to a question for news is read 20 seconds after it was asked
    Then the front daemon says that it is stale

  Scenario Outline: what a host reads once it was stopped may have waited: <kind>, <seconds> seconds
    Given a host that ticks
    When it is stopped for <seconds> seconds, and then reads a <kind>
    Then it is <outcome>
    And the log says <events>

    Examples:
      | kind  | seconds | outcome                                 | events                  |
      | call  | 2       | refused there, saying when to come back | once that it was stopped |
      | http  | 2       | refused there, saying when to come back | once that it was stopped |
      | ready | 2       | taken there                             | once that it was stopped |
      | call  | 0.4     | taken there                             | nothing                 |

  Scenario Outline: one watch tells the decider of each pause that requests may have lain unread for: <seconds> seconds
    Given a host that ticks
    When it is stopped for <seconds> seconds, and then reads a ready
    Then the decider is told of <pause>

    Examples:
      | seconds | pause       |
      | 0.05    | no pause    |
      | 0.09    | no pause    |
      | 0.3     | 0.3 seconds |
      | 2       | 2.0 seconds |

  Scenario: calls that come once a host runs again are taken
    Given a host that ticks
    When it is stopped for 2 seconds, and goes on for a while
    Then what is read from then on is taken

  Scenario: an answer that is about to be written too late is told as unsure instead
    Given a host that ticks
    When an answer is written after its end, and another before
    Then the one is told as unsure, and the other as it was decided

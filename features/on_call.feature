Feature: On call
  What an operator on call asks has one command that answers it.

  Scenario: the command says since when the leader leads, by the cluster's clock and as a time of day
    Given a simulated cluster of five that serves
    When its leader is lost, and another has led for 3 seconds
    Then the cluster's answer says that the newer one leads since then, to a tenth of a second
    And the command prints the moment on the cluster's clock, marked as such, and the time of day

  Scenario Outline: with <trouble> the cluster may lose <machines> more machines
    Given a simulated cluster of five that serves
    When it meets <trouble>
    Then its answer says that it may lose <machines> more, and that <obstacle> is in the way
    And the command prints it

    Examples:
      | trouble                       | machines | obstacle                      |
      | nothing                       | 2        | nothing                       |
      | one voter lost                | 1        | is not heard                  |
      | two voters lost               | 0        | is not heard                  |
      | a voter that lacks the log    | 1        | lacks much of the log         |
      | a change of members under way | 1        | a change of members           |

  Scenario: what the answer says may be lost can be lost, and one more can't
    Given a simulated cluster of five that serves
    When as many machines are lost as its answer says
    Then it serves still, and its answer says that no more may be lost
    When one more is lost
    Then it serves no more

  Scenario: the answer of an earlier version's leader is printed without what it leaves out
    Given a simulated cluster of five that serves
    When its answer lacks since when the leader leads and what may be lost
    Then the command prints the rest

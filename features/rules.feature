Feature: Rules
  Alert rules in the Prometheus manner may pause approvals, and never an emergency change.

  Scenario Outline: a rules file with <fault> is refused with its place
    When a rules file with <fault> is read
    Then the fault is at <place>

    Examples:
      | fault                       | place                  |
      | no YAML                     | nowhere                |
      | no groups                   | groups                 |
      | a function in an expression | groups.0.rules.0.expr  |
      | a comparison of two metrics | groups.0.rules.0.expr  |
      | a duration without unit     | groups.0.rules.0.for   |
      | an unknown hold             | groups.0.rules.0.labels.hold |
      | an alert named twice        | groups.0.rules.1.alert |
      | a stray field               | groups.0.rules.0.colour |

  Scenario: a control daemon with a rules file that can't be read does not start
    When a bent rules file is given to a starting control daemon
    Then it ends with 2 and one line that names the place

  Scenario: a firing rule pauses an approval until it clears, whoever leads
    Given a simulated fleet whose rules pause approvals while tasks are parked
    And a draft that was found better
    When an impossible job is parked for 3 seconds
    Then approving is refused with "held", the alert and when to come back
    And an emergency change goes through
    And a new leader still pauses approvals
    And once the job is cancelled approving puts the draft, made anew, in force

  Scenario: a pause of a lower epoch changes nothing
    When a cluster state gets a pause under an old epoch
    Then it holds nothing

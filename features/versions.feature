Feature: Versions
  Daemons of two versions work side by side; what one does not know is never proposed.

  Scenario: a rolling change to a next version, control daemon by control daemon
    Given a simulated fleet under traffic
    When its control daemons are restarted one by one as a made-up next version
    Then nothing of the next version is agreed before the last one has told its level
    And then it is, every control daemon holds it, and the histories check clean

  Scenario: back again before anything new was agreed
    Given a simulated fleet under traffic
    When two control daemons are restarted as a made-up next version and then back
    Then nothing of the next version is agreed, and the histories check clean

  Scenario: a control daemon set back after something new was agreed stops and counts for nothing wrong
    Given a simulated fleet under traffic
    When all control daemons have the next version, something new is agreed, and one is set back
    Then it stops with a broken invariant that names the operation, and the others serve on

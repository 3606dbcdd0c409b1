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

  Scenario: a member that knows no tenants, beside members that do
    Given a simulated fleet under traffic whose last control daemon knows no tenants
    When a configuration in which two tenants share a key is sent, and jobs with their keys
    Then both are taken as they were then, and nothing about tenants is agreed
    And the cluster states of all control daemons are equal
    When the last control daemon is restarted as one that knows tenants
    Then the configuration in force is the one in which two tenants share a key
    When a configuration in which two tenants share a key is sent, and jobs with their keys
    Then the configuration is refused, and each job is its tenant's
    And the cluster states of all control daemons are equal, also after each was restarted
    And the histories check clean

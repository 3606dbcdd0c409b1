Feature: Path
  The whole path as separate processes, from a ticket at a verge to a task ended on a minion.

  Scenario: three accords, two verges, two minions, traffic, and every history check
    Given a small fleet of processes with its setup in force
    When its traffic runs for 4 seconds
    Then every ticket becomes final and no history check finds a fault
    And a ticket is read back at every verge
    And each process ends within 2 seconds of its SIGTERM with exit code 0

  Scenario Outline: a small fleet under <disturbance> keeps every promise
    When a small fleet suffers <disturbance> under its traffic
    Then no check of the run finds a fault and every ticket became final

    Examples:
      | disturbance     |
      | freeze-leader   |
      | freeze-minion   |
      | kill-minion     |
      | lose-minion     |
      | fill-disk       |
      | race-operators  |
      | rolling-restart |

Feature: Path
  The whole path as separate processes, from a job at a front daemon to a task ended on a worker.

  Scenario: three control daemons, two front daemons, two workers, traffic, and every history check
    Given a small fleet of processes with its queue configuration in force
    When its traffic runs for 4 seconds
    Then every job becomes final and no history check finds a fault
    And a job is read back at every front daemon
    And each process ends within 2 seconds of its SIGTERM with exit code 0

  Scenario Outline: a small fleet under <fault> keeps every guarantee
    When a small fleet suffers <fault> under its traffic
    Then no check of the run finds a fault and every job became final

    Examples:
      | fault           |
      | freeze-leader   |
      | freeze-minion   |
      | kill-minion     |
      | lose-minion     |
      | fill-disk       |
      | race-operators  |
      | rolling-restart |

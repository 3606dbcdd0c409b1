Feature: Path
  The whole path as separate processes, from a ticket at a verge to a task ended on a minion.

  Scenario: three accords, two verges, two minions, traffic, and every history check
    Given a small fleet of processes with its setup in force
    When its traffic runs for 4 seconds
    Then every ticket becomes final and no history check finds a fault
    And a ticket is read back at every verge
    And each process ends within 2 seconds of its SIGTERM with exit code 0

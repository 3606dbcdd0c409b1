Feature: Command line
  The operators' command line says what it can do and how it ends.

  Scenario: the overview lists every command with what it does, and the exit codes
    When an operator asks the command line for help
    Then every command of every group stands in a line of its own with what it does
    And each exit code is explained

  Scenario: no daemon that answers ends a command with its own exit code
    When an operator lists jobs of a daemon that is not there
    Then the command ends with the exit code for no answer

  Scenario: the timeline tells from logs where the time of a job went, and how runs that were stopped ended
    Given the log of a job that waited 2 seconds for capacity and whose run was stopped as stalled
    When the timeline of that log is asked for
    Then it tells 2.000 seconds until placed, and 1 run stopped as stalled that ended stopped

  Scenario: the timeline of a log without jobs says so
    When the timeline of a log without jobs is asked for
    Then it says that no job's handing in is told

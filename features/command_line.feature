Feature: Command line
  The operators' command line says what it can do and how it ends.

  Scenario: the overview lists every command with what it does, and the exit codes
    When an operator asks the command line for help
    Then every command of every group stands in a line of its own with what it does
    And each exit code is explained

  Scenario: no daemon that answers ends a command with its own exit code
    When an operator lists tickets of a daemon that is not there
    Then the command ends with the exit code for no answer

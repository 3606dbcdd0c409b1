Feature: Command line
  The operators' command line says what it can do and how it ends.

  Scenario: the overview lists every command with what it does, and the exit codes
    When an operator asks the command line for help
    Then every command of every group stands in a line of its own with what it does
    And each exit code is explained

  Scenario: the overview lists earlier names apart from the commands
    When an operator asks the command line for help
    Then each earlier name stands below the commands with what replaces it

  Scenario Outline: the program <program> goes on working and says what replaces it
    When the program <program> is started with its earlier flags
    Then it ends as "pinepitch <command>" with the present flags does
    And one line on standard error says that <program> is now "pinepitch <command>"
    And the same line says that <flag> is now <present flag>

    Examples:
      | program | command | flag       | present flag     |
      | accord  | control | --area     | --zone           |
      | accord  | control | --founders | --bootstrap-size |
      | verge   | front   | --area     | --zone           |
      | whence  | explain | --verge    | --front          |

  Scenario Outline: "pinepitch <earlier>" goes on working and says what replaces it
    Given a front daemon that tells what it was asked
    When an operator runs "<earlier>" against it
    And an operator runs "<present>" against it
    Then it was asked the same both times and answered with 0
    And only the first said, in one line on standard error, that <name> is now <present name>

    Examples: groups
      | earlier                | present                           | name   | present name        |
      | ticket show t1         | pushed-job show t1                | ticket | pushed-job          |
      | minion drain lamp3     | worker drain lamp3                | minion | worker              |
      | area take_back z1      | zone take-back z1                 | area   | zone                |
      | setup history          | queue-configuration history       | setup  | queue-configuration |
      | table drop d1          | queue-table drop d1               | table  | queue-table         |

    Examples: commands
      | earlier                | present                           | name    | present name       |
      | cohort                 | cluster                           | cohort  | cluster            |
      | figures                | counts                            | figures | counts             |
      | holds                  | pauses                            | holds   | pauses             |

    Examples: flags
      | earlier                | present                           | name     | present name      |
      | worker drain --minion=lamp3 | worker drain --worker=lamp3  | --minion | --worker          |
      | zone empty --area z1   | zone empty --zone z1              | --area   | --zone            |
      | pushed-job show --ticket=t1 | pushed-job show --job=t1     | --ticket | --job             |

  Scenario: the earlier flag and variable for a front daemon go on working and say what replaces them
    Given a front daemon that tells what it was asked
    When an operator names it by --verge
    Then the answer comes and standard error says that --verge is now --front
    When an operator names it by the variable PINEPITCH_VERGE
    Then the answer comes and standard error says that PINEPITCH_VERGE is now PINEPITCH_FRONT

  Scenario Outline: the simulations take earlier flags: <earlier>
    When an operator runs the simulation "<earlier>"
    Then it is run with <argument> "<value>"
    And standard error says that <name> is now <present name>

    Examples:
      | earlier                 | argument       | value | name         | present name     |
      | trials --weather=calm   | scenario       | calm  | --weather    | --scenario       |
      | trials --plant amnesia  | injected_fault | amnesia | --plant    | --injected-fault |
      | fleet --disturb=kills   | fault          | kills | --disturb    | --fault          |
      | disturbances --only=x   | only           | x     | disturbances | fault-scenarios  |
      | proof --page=nowhere    | page           | nowhere | proof      | guarantees       |

  Scenario Outline: starting a <daemon> daemon loads none of the operators' commands
    When "pinepitch <daemon>" is started with settings that are not there
    Then it ends with 2, and neither <other> nor the operators' commands were loaded

    Examples:
      | daemon  | other             |
      | control | pinepitch.front   |
      | front   | pinepitch.control |

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

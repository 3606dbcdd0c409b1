Feature: Control faults
  Faults of control daemons break no rule of jobs, configurations and evacuations; injected faults are found.

  Scenario: no fault scenario of the control daemons breaks a rule
    Given the trials
      | scenario              | seed |
      | control-cut           | 0    |
      | control-cut-seeds     | 2    |
      | control-cut-restart   | 0    |
      | zone-cut              | 0    |
      | acknowledgements-lost | 1    |
      | connections-reset     | 0    |
      | killed-after-promise  | 2    |
      | wiped-after-promise   | 2    |
      | herd-killed           | 2    |
      | zone-lost             | 0    |
      | disks-bad             | 0    |
      | machines-slow         | 2    |
      | control-frozen        | 0    |
      | clocks-stepped        | 0    |
      | settings-changed      | 0    |
      | loss-during-repair    | 0    |
      | replacement-chain     | 0    |
      | replacement-planned   | 1    |
      | wiped-in-turn         | 0    |
      | many-changes          | 0    |
      | mixed                 | 2    |
    Then none of the trials finds a fault
    And every fault scenario of the control daemons was tried

  Scenario: injected faults are found by the fault scenarios of the control daemons
    Given the injected faults
      | scenario              | seed | plant              | fault                          |
      | zone-cut              | 0    | lease-ignored      | had ended done, as noted       |
      | acknowledgements-lost | 0    | versions-forgotten | that was refused, was in force |
      | killed-after-promise  | 0    | elections-slow     | no job was taken               |
      | herd-killed           | 2    | saved-early        | is unknown                     |
      | machines-slow         | 0    | evacuation-endless | is not in force                |
      | wiped-in-turn         | 0    | never-admitted     | no job was taken               |
    Then each of them is found with that seed or one of the next

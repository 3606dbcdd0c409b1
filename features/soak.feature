Feature: Soak
  The platform's programs as processes, stand-in workers and callers over real sockets, and troubles that overlap.

  Scenario: two short soaks under kills, restarts, signals, changes, pauses, cuts, lost disks and lost answers break no guarantee
    When soaks of 10 seconds run with seeds 1 to 2
    Then no history check, no log and no invariant of the code shows a fault
    And at least two troubles went on at the same time, and jobs ran

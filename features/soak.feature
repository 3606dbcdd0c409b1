Feature: Soak
  The platform's programs as processes, stand-in workers and callers over real sockets, and troubles that overlap.

  Scenario: two short soaks under kills, restarts, signals, changes, pauses, cuts, lost disks and lost answers break no guarantee
    When soaks of 10 seconds run with seeds 1 to 2
    Then no history check, no log and no invariant of the code shows a fault
    And no request that a daemon had read was cut in its planned stop
    And at least two troubles went on at the same time, and jobs ran

  Scenario: a request that a server read and then dropped counts as cut
    Given a server that answers the first request on a connection, reads the second and closes
    When two calls are sent on one connection
    Then the first has its answer, and the second counts as cut

Feature: Soak
  The platform's programs as processes, stand-in workers and callers over real sockets, and troubles that overlap.

  Scenario: two short soaks under kills, restarts, signals, changes, pauses, cuts, lost disks and lost answers break no guarantee
    When soaks of 10 seconds run with seeds 1 to 2
    Then no history check, no log and no invariant of the code shows a fault
    And no request that a daemon had read was cut in its planned stop
    And at least two troubles went on at the same time, and jobs ran
    And clients that left before their job was answered had cancels acknowledged

  # guards against jobs of an allowed size that end control daemons or depose leaders (review/4, review/5)
  Scenario: jobs that nobody can run, up to every limit, end no daemon and make no leader stand still
    When a soak of 15 seconds beside such jobs runs with seed 1
    Then no history check, no log and no invariant of the code shows a fault
    And jobs that nobody can run were accepted, and others ran

  Scenario: a request that a server read and then dropped counts as cut
    Given a server that answers the first request on a connection, reads the second and closes
    When two calls are sent on one connection
    Then the first has its answer, and the second counts as cut

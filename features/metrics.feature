Feature: Metrics
  Every daemon tells its figures in the Prometheus manner, with types and help.

  Scenario: a control daemon that leads tells what operators need
    Given a simulated fleet that has worked for a while
    Then its leader tells waits, ends, credits, syncs and events that agree with the cluster state
    And a follower tells that it does not lead
    And each line parses, and every family has its help and type

  Scenario: a silent worker and what is held there are told
    Given a simulated fleet that has worked for a while
    When a worker with long work falls silent
    Then its leader tells one silent worker and the tasks held there

  Scenario: a front daemon tells what it took, carried and sent
    Given a simulated fleet that has worked for a while
    Then each front daemon's figures add up to the orders that workers started or refused

  Scenario: a control daemon's own port answers nothing else
    Given a simulated fleet that has worked for a while
    Then any other call at its port gets 404 and changes nothing

  Scenario: an operation of a newer version stops a control daemon, it is never skipped
    When a cluster state is given an operation that it does not know
    Then it raises, and its state is as before

Feature: Metrics
  Every daemon tells its figures in the Prometheus manner, with types and help.

  Scenario: an accord that leads tells what operators need
    Given a simulated fleet that has worked for a while
    Then its leader tells waits, ends, credits, syncs and events that agree with the record
    And a follower tells that it does not lead
    And each line parses, and every family has its help and type

  Scenario: a silent minion and what is held there are told
    Given a simulated fleet that has worked for a while
    When a minion with long work falls silent
    Then its leader tells one silent minion and the tasks held there

  Scenario: a verge tells what it took, carried and sent
    Given a simulated fleet that has worked for a while
    Then each verge's figures add up to the orders that minions started or refused

  Scenario: an accord's own port answers nothing else
    Given a simulated fleet that has worked for a while
    Then any other call at its port gets 404 and changes nothing

  Scenario: an operation of a newer version stops an accord, it is never skipped
    When a record is given an operation that it does not know
    Then it raises, and its state is as before

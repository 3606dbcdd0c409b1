Feature: Lease
  No leader is elected while an older one may still rely on its lease.

  Scenario: an accord that starts anew gives no vote while it may carry a lease
    Given an accord with a log that starts anew
    When it is asked for a pre-vote at once, as a lease ends by its own clock, and once it has ended by any
    Then it refuses at first and grants then

  Scenario: an accord that starts anew gives no vote before it has seen the time pass
    Given an accord with a log that starts anew, and has not looked at its clock yet
    When it is asked for a vote in a later term at once, and again once a lease is over
    Then it says nothing at first and grants then

  Scenario: an accord that just heard its leader gives nobody a vote
    Given an accord with a log that heard its leader just now
    When it is asked for a vote in a later term at once, and again once a time-out is over
    Then it says nothing at first and grants then

  Scenario: a leader's lease ends with the answers of its quorum
    Given a leader whose followers answered a beat
    Then its lease stands until LEADER_LEASE after that beat was sent, and not longer

  Scenario: the lease is shorter than the time-out, and a hold outlasts an election
    Then the constants leave a lease no room beside an election

  Scenario: a lease is over for all, by clocks that drift, before a voter may vote
    Then the constants allow each steady clock the drift that a worker's may have
    And a lease as long as the time-out, or a restart that waits for no drift, would allow none

  Scenario: a lease doesn't outlast a machine's suspension
    Given a daemon on a machine whose steady clocks differ by a suspension
    When it takes a message, and asks whether it may end
    Then its decider is told the clock that went on, both times

  Scenario: an accord that is asked for a vote before its first tick gives none either
    Given an accord with a log that was not stepped yet
    When it is asked for pre-votes that begin its life, and until a lease from then has ended by any clock
    Then it refuses at first and grants then

  Scenario: a leader that hands over gives its lease up before its successor hears of it
    Given a leader whose followers answered a beat
    When it hands over while its successor lacks an entry
    Then it leads on, and names the successor once all is held, without a lease by then

  Scenario: a voter grants a takeover beside the leader that released it, not beside a newer one
    Given an accord with a log that heard its leader just now
    When it is asked for a takeover of the term before, and then of that leader's
    Then it says nothing at first and grants then

  Scenario: only the leader of the term names a successor
    Given an accord with a log that heard its leader just now
    When others than its leader, and an older leader, name it successor
    Then it begins no election
    But it does, without a pre-vote, once its leader names it

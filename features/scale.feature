Feature: Scale
  Real daemons beside hollow workers that share one process: what is counted is whole, no rule of
  jobs is broken, and what a leader spends on one heartbeat or one seat does not hide a worse power.

  Scenario: a small fleet of daemons and hollow workers keeps the rules, and its counts are whole
    When real daemons bear 8 hollow workers that run 8 tasks and start 10 a second
    Then no history check of jobs finds a fault
    And the 8 tasks run, and starts come at 10 a second, give or take a half
    And each worker heartbeats more often than once a second, and less than 10 times
    And the leader took every heartbeat that was answered, and every role's frames are counted
    And every control daemon applies the same entries

  Scenario: twice the workers bring about twice the heartbeats
    When real daemons bear 6 hollow workers, then 12
    Then the heartbeats of the second run are 1.6 to 2.4 times those of the first
    And no history check of jobs finds a fault

  Scenario: a line is fitted as it was drawn
    Then points of 3 + 2x give the slope 2, the intercept 3 and no residual
    And a daemon at its limit is no point of a slope

  Scenario: one heartbeat of a worker costs alike in herds of two sizes
    When 50 and 200 workers heartbeat in this process
    Then one heartbeat among 200 costs less than 3 times one among 50

  # guards against a leader that has no processor time left in a large fleet: SHORT on tlq-mezcla-large, issue 71
  Scenario: what a leader computes beside a busy fleet grows by no more than the fleet, and counts repeat
    When a leader of 100 and one of 750 busy workers decide for 2 seconds in this process
    Then a heartbeat among 750 makes at most 1.5 times the calls of one among 100
    And a round among 750 makes at most 5.4 calls for each worker
    And the counts are the same when the first is played again

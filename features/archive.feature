Feature: Archive
  A day's finished jobs stay readable and their keys honoured, at a bounded cost.

  Scenario: archived jobs read as they were, and their keys are honoured
    Given a cluster state that has finished 3000 jobs
    Then 1700 or more of them are archived, and each reads as it was when it ended
    And each archived key with its body is known, and with another is refused
    And cancelling an archived job says how it ended

  Scenario: a snapshot costs what changed, not what was ever finished
    Given a cluster state that has finished 3000 jobs
    When 3000 more are finished
    Then its image has grown by less than a quarter
    And an archived job takes less than 200 bytes

  Scenario: what is older than a day goes, the newest stay
    Given a cluster state that has finished 3000 jobs
    When a day passes and 600 more are finished
    Then the oldest are gone with their keys, and what is kept still reads

  Scenario: a follower that was away fetches only the segments it lacks
    Given a simulated fleet that compacts and seals all the time
    When a control daemon is cut off for a while and comes back
    Then it was sent only segments it lacked, and holds what the leader holds

  Scenario: a control daemon with an empty disk gets the whole archive
    Given a simulated fleet that compacts and seals all the time
    When a control daemon comes back empty
    Then it holds what the leader holds

  Scenario: a segment that is gone or bent damages the store
    Given a store whose base stands on 3 segments
    Then it loads with all 3
    And without one, or with a bent one, it counts as damaged

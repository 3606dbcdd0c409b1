Feature: Board
  Which jobs there are and where their tasks run is the same at every accord, and no end counts twice.

  Scenario: a job handed in twice is one job
    Given a board whose queue allows 3 attempts
    When the board takes job A with steps "2"
    Then the board answers accepted
    When the board takes job A with steps "2"
    Then the board answers known
    And the board counts 1 job that has not begun
    When the board cancels A
    And the board takes job A with steps "2"
    Then the board answers known
    And the board shows A as cancelled

  Scenario: a job at a queue that is not there is refused and leaves nothing
    Given a board whose queue allows 3 attempts
    When the board takes job A at another queue
    Then the board answers missing
    And the board does not know A

  Scenario: a full board refuses new jobs and still knows the old ones
    Given a board whose queue allows 3 attempts and that holds 2 jobs at most
    When the board takes job A with steps "1"
    And the board takes job B with steps "1"
    And the board takes job C with steps "1"
    Then the board answers full
    And the board does not know C
    When the board takes job A with steps "1"
    Then the board answers known
    When the board cancels A
    And the board takes job C with steps "1"
    Then the board answers accepted

  Scenario: a step waits until every task of the steps before it is done
    Given a board whose queue allows 3 attempts
    When the board takes job A with steps "2; 1; 1 after 0 1"
    Then the board has "0.0 0.1" ready
    When the board places "0.2.0" of A on one
    Then nothing was placed
    When the board places "0.0.0 0.0.1 0.1.0" of A on one
    And the board hears that run 1 of "0.0.0 0.1.0" of A ended done
    Then the board has "" ready
    When the board places "0.2.0" of A on one
    Then nothing was placed
    When the board hears that run 1 of "0.0.1" of A ended done
    Then the board has "0.2" ready
    When the board places "0.2.0" of A on one
    Then run 1 was placed
    When the board hears that run 1 of "0.2.0" of A ended done
    Then the board shows A as completed

  Scenario: the times of a timed job are placed once due, each with steps of its own
    Given a board whose queue allows 3 attempts
    When the board takes job A with steps "1; 1 after 0" due 2 times every 10 seconds from 100 on
    And 99.9 seconds have passed on the board
    And the board places "0.0.0" of A on one
    Then nothing was placed
    When 100 seconds have passed on the board
    And the board places "0.0.0 1.0.0" of A on one
    Then only "0.0.0" was placed
    When the board hears that run 1 of "0.0.0" of A ended done
    And 110 seconds have passed on the board
    And the board places "1.1.0" of A on one
    Then nothing was placed
    When the board places "0.1.0 1.0.0" of A on one
    And the board hears that run 1 of "0.1.0 1.0.0" of A ended done
    Then the board shows A as running
    When the board places "1.1.0" of A on one
    And the board hears that run 1 of "1.1.0" of A ended done
    Then the board shows A as completed

  Scenario Outline: after an end <how> the task is placed again under the next run number
    Given a board whose queue allows 3 attempts
    When the board takes job A with steps "1"
    And the board places "0.0.0" of A on one
    And the board hears that run 1 of "0.0.0" of A ended <how>
    And the board places "0.0.0" of A on two
    Then run 2 was placed
    When the board hears that run 2 of "0.0.0" of A ended <how>
    And the board places "0.0.0" of A on one
    Then run 3 was placed
    And what run 1 or 2 of "0.0.0" of A held is free

    Examples:
      | how     |
      | failed  |
      | stopped |
      | lapsed  |
      | refused |

  Scenario: a task that is placed or done is not placed again
    Given a board whose queue allows 3 attempts
    When the board takes job A with steps "2"
    And the board places "0.0.0" of A on one
    And the board places "0.0.0" of A on two
    Then nothing was placed
    When the board hears that run 1 of "0.0.0" of A ended done
    And the board places "0.0.0" of A on two
    Then nothing was placed

  Scenario: a gang is placed whole, under one run number, or not at all
    Given a board whose queue allows 3 attempts
    When the board takes job A with steps "3 gang"
    And the board places "0.0.0 0.0.1" of A on one
    Then nothing was placed
    When the board places "0.0.0 0.0.1 0.0.2" of A on one
    Then run 1 was placed 3 times
    When the board hears that run 1 of "0.0.1" of A ended stopped
    Then no other member of A is wanted any more
    And the board has "" ready
    When the board places "0.0.1" of A on one
    Then nothing was placed
    When the board hears that run 1 of "0.0.0" of A ended broken
    And the board lets go of run 1 of "0.0.2" of A as unsent
    Then the board has "0.0" ready
    When the board places "0.0.0 0.0.1 0.0.2" of A on two
    Then run 2 was placed 3 times

  Scenario: one end done of a gang counts for all its members
    Given a board whose queue allows 3 attempts
    When the board takes job A with steps "3 gang; 1 after 0"
    And the board places "0.0.0 0.0.1 0.0.2" of A on one
    And the board hears that run 1 of "0.0.1" of A ended done
    Then the board has "0.1" ready
    And no other member of A is wanted any more
    When the board hears that run 1 of "0.0.0 0.0.2" of A ended broken
    Then the board has "0.1" ready

  Scenario: a task's failures lead to a failed job at the bound of attempts, and other ends don't
    Given a board whose queue allows 2 attempts
    When the board takes job A with steps "2"
    And the board places "0.0.0 0.0.1" of A on one
    And the board hears that run 1 of "0.0.0 0.0.1" of A ended failed
    Then the board shows A as running
    When the board places "0.0.0" of A on one
    And the board hears that run 2 of "0.0.0" of A ended stopped
    And the board places "0.0.0" of A on one
    And the board lets go of run 3 of "0.0.0" of A as lapsed
    Then the board shows A as running
    When the board places "0.0.0" of A on one
    And the board hears that run 4 of "0.0.0" of A ended failed
    Then the board shows A as failed
    When the board places "0.0.1" of A on one
    Then nothing was placed

  Scenario: a gang's failures count once a run
    Given a board whose queue allows 2 attempts
    When the board takes job A with steps "3 gang"
    And the board places "0.0.0 0.0.1 0.0.2" of A on one
    And the board hears that run 1 of "0.0.0 0.0.1 0.0.2" of A ended failed
    Then the board shows A as running
    When the board places "0.0.0 0.0.1 0.0.2" of A on one
    And the board hears that run 2 of "0.0.2" of A ended failed
    Then the board shows A as failed

  Scenario: a gang's failures count once a run though an older run's end comes between
    Given a board whose queue allows 3 attempts
    When the board takes job A with steps "2 gang"
    And the board places "0.0.0 0.0.1" of A on one
    And the board lets go of run 1 of "0.0.0 0.0.1" of A as lapsed
    And the board places "0.0.0 0.0.1" of A on two
    And the board hears that run 2 of "0.0.0" of A ended failed
    And the board hears that run 1 of "0.0.0" of A ended failed
    And the board hears that run 2 of "0.0.1" of A ended failed
    Then the board shows A as running

  Scenario Outline: a lasting task that ended <how> starts again beyond all attempts
    Given a board whose queue allows 1 attempts
    When the board takes job A with steps "1 lasts"
    And the task "0.0.0" of A is placed and ends <how> 5 times
    Then the board shows A as running
    And the board has "0.0" ready
    When the board places "0.0.0" of A on one
    Then run 6 was placed
    When the board cancels A
    Then the board shows A as cancelled

    Examples:
      | how     |
      | done    |
      | failed  |
      | stopped |
      | lapsed  |

  Scenario: a lapsed run's end done that comes late counts once, and ends what was started since
    Given a board whose queue allows 3 attempts
    When the board takes job A with steps "1; 1 after 0"
    And the board places "0.0.0" of A on one
    And the board lets go of run 1 of "0.0.0" of A as lapsed
    And the board places "0.0.0" of A on two
    And the board hears that run 1 of "0.0.0" of A ended done
    Then the board answers done
    And run 2 of "0.0.0" of A is held and not wanted
    And the board has "0.1" ready
    When the board hears that run 1 of "0.0.0" of A ended done
    Then the board answers stale
    When the board hears that run 2 of "0.0.0" of A ended done
    Then the board answers stale
    And the board has "0.1" ready

  Scenario: a lapsed run's failure that comes late counts once
    Given a board whose queue allows 2 attempts
    When the board takes job A with steps "1"
    And the board places "0.0.0" of A on one
    And the board lets go of run 1 of "0.0.0" of A as lapsed
    And the board places "0.0.0" of A on two
    And the board hears that run 1 of "0.0.0" of A ended failed
    And the board hears that run 1 of "0.0.0" of A ended failed
    Then the board answers stale
    And the board shows A as running
    And run 2 of "0.0.0" of A is held and wanted
    When the board hears that run 2 of "0.0.0" of A ended failed
    Then the board shows A as failed

  Scenario: what was never sent can't end late
    Given a board whose queue allows 3 attempts
    When the board takes job A with steps "1"
    And the board places "0.0.0" of A on one
    And the board lets go of run 1 of "0.0.0" of A as unsent
    Then the board has "0.0" ready
    And what run 1 or 1 of "0.0.0" of A held is free
    When the board hears that run 1 of "0.0.0" of A ended done
    Then the board answers stale
    When the board places "0.0.0" of A on two
    Then run 2 was placed

  Scenario: a cancelled job starts nothing more, and its room is held until its runs have ended
    Given a board whose queue allows 3 attempts
    When the board takes job A with steps "2"
    And the board places "0.0.0" of A on one
    And the board cancels A
    Then the board shows A as cancelled
    And the board has "" ready
    And run 1 of "0.0.0" of A is held and not wanted
    When the board places "0.0.1" of A on one
    Then nothing was placed
    When the board hears that run 1 of "0.0.0" of A ended done
    Then the board answers late
    And the board shows A as cancelled
    And what run 1 or 1 of "0.0.0" of A held is free
    When the board cancels A
    Then the board answers final

  Scenario: the state of a final job is kept for its time, and dropped once another ends after it
    Given a board whose queue allows 3 attempts
    When the board takes job A with steps "1"
    And the board cancels A
    And the board takes job B with steps "1"
    And the board takes job C with steps "1"
    And the final states' time has all but passed on the board
    And the board cancels B
    Then the board shows A as cancelled
    When the final states' time has passed on the board
    And the board cancels C
    Then the board does not know A
    And the board shows B as cancelled
    When the board cancels A
    Then the board answers missing

  Scenario Outline: <what> under an older placing epoch is refused and changes nothing
    Given a record whose board holds a job, and a placing epoch followed by another
    When <what> comes under the older epoch
    Then it is refused for its epoch and the board is as it was
    When <what> comes under the newer epoch
    Then it is taken and the board has changed

    Examples:
      | what        |
      | a placement |
      | a stop      |

  Scenario Outline: an accord that starts from an image goes on like one that never stopped, seed <seed>
    Given three records that apply the same 800 random operations of seed <seed>
    Then all along their images are equal, whichever of them was taken from an image between
    And the same waves are ready in each, namely those that may start
    And no run number was ever given twice, and no gang was ever placed in part

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

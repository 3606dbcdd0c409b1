Feature: Leased job state
  Which jobs there are and where their tasks run is the same at every control daemon, and no end counts twice.

  Scenario: a job handed in twice is one job
    Given a leased job state whose queue allows 3 attempts
    When the leased job state takes job A with steps "2"
    Then the leased job state answers accepted
    When the leased job state takes job A with steps "2"
    Then the leased job state answers known
    And the leased job state counts 1 job that has not begun
    When the leased job state cancels A
    And the leased job state takes job A with steps "2"
    Then the leased job state answers known
    And the leased job state shows A as cancelled

  Scenario: a job at a queue that is not there is refused and leaves nothing
    Given a leased job state whose queue allows 3 attempts
    When the leased job state takes job A at another queue
    Then the leased job state answers missing
    And the leased job state does not know A

  Scenario: a full leased job state refuses new jobs and still knows the old ones
    Given a leased job state whose queue allows 3 attempts and that holds 2 jobs at most
    When the leased job state takes job A with steps "1"
    And the leased job state takes job B with steps "1"
    And the leased job state takes job C with steps "1"
    Then the leased job state answers full
    And the leased job state does not know C
    When the leased job state takes job A with steps "1"
    Then the leased job state answers known
    When the leased job state cancels A
    And the leased job state takes job C with steps "1"
    Then the leased job state answers accepted

  Scenario: a step waits until every task of the steps before it is done
    Given a leased job state whose queue allows 3 attempts
    When the leased job state takes job A with steps "2; 1; 1 after 0 1"
    Then the leased job state has "0.0 0.1" ready
    When the leased job state places "0.2.0" of A on one
    Then nothing was placed
    When the leased job state places "0.0.0 0.0.1 0.1.0" of A on one
    And the leased job state hears that run 1 of "0.0.0 0.1.0" of A ended done
    Then the leased job state has "" ready
    When the leased job state places "0.2.0" of A on one
    Then nothing was placed
    When the leased job state hears that run 1 of "0.0.1" of A ended done
    Then the leased job state has "0.2" ready
    When the leased job state places "0.2.0" of A on one
    Then run 1 was placed
    When the leased job state hears that run 1 of "0.2.0" of A ended done
    Then the leased job state shows A as completed

  Scenario: the times of a timed job are placed once due, each with steps of its own
    Given a leased job state whose queue allows 3 attempts
    When the leased job state takes job A with steps "1; 1 after 0" due 2 times every 10 seconds from 100 on
    And 99.9 seconds have passed on the leased job state
    And the leased job state places "0.0.0" of A on one
    Then nothing was placed
    When 100 seconds have passed on the leased job state
    And the leased job state places "0.0.0 1.0.0" of A on one
    Then only "0.0.0" was placed
    When the leased job state hears that run 1 of "0.0.0" of A ended done
    And 110 seconds have passed on the leased job state
    And the leased job state places "1.1.0" of A on one
    Then nothing was placed
    When the leased job state places "0.1.0 1.0.0" of A on one
    And the leased job state hears that run 1 of "0.1.0 1.0.0" of A ended done
    Then the leased job state shows A as running
    When the leased job state places "1.1.0" of A on one
    And the leased job state hears that run 1 of "1.1.0" of A ended done
    Then the leased job state shows A as completed

  Scenario Outline: after an end <how> the task is placed again under the next run number
    Given a leased job state whose queue allows 3 attempts
    When the leased job state takes job A with steps "1"
    And the leased job state places "0.0.0" of A on one
    And the leased job state hears that run 1 of "0.0.0" of A ended <how>
    And the leased job state places "0.0.0" of A on two
    Then run 2 was placed
    When the leased job state hears that run 2 of "0.0.0" of A ended <how>
    And the leased job state places "0.0.0" of A on one
    Then run 3 was placed
    And what run 1 or 2 of "0.0.0" of A held is free

    Examples:
      | how     |
      | failed  |
      | stopped |
      | lapsed  |
      | refused |

  Scenario: a task that is placed or done is not placed again
    Given a leased job state whose queue allows 3 attempts
    When the leased job state takes job A with steps "2"
    And the leased job state places "0.0.0" of A on one
    And the leased job state places "0.0.0" of A on two
    Then nothing was placed
    When the leased job state hears that run 1 of "0.0.0" of A ended done
    And the leased job state places "0.0.0" of A on two
    Then nothing was placed

  Scenario: a gang is placed whole, under one run number, or not at all
    Given a leased job state whose queue allows 3 attempts
    When the leased job state takes job A with steps "3 gang"
    And the leased job state places "0.0.0 0.0.1" of A on one
    Then nothing was placed
    When the leased job state places "0.0.0 0.0.1 0.0.2" of A on one
    Then run 1 was placed 3 times
    When the leased job state hears that run 1 of "0.0.1" of A ended stopped
    Then no other member of A is wanted any more
    And the leased job state has "" ready
    When the leased job state places "0.0.1" of A on one
    Then nothing was placed
    When the leased job state hears that run 1 of "0.0.0" of A ended broken
    And the leased job state lets go of run 1 of "0.0.2" of A as unsent
    Then the leased job state has "0.0" ready
    When the leased job state places "0.0.0 0.0.1 0.0.2" of A on two
    Then run 2 was placed 3 times

  Scenario: one end done of a gang counts for all its members
    Given a leased job state whose queue allows 3 attempts
    When the leased job state takes job A with steps "3 gang; 1 after 0"
    And the leased job state places "0.0.0 0.0.1 0.0.2" of A on one
    And the leased job state hears that run 1 of "0.0.1" of A ended done
    Then the leased job state has "0.1" ready
    And no other member of A is wanted any more
    When the leased job state hears that run 1 of "0.0.0 0.0.2" of A ended broken
    Then the leased job state has "0.1" ready

  Scenario: a task's failures lead to a failed job at the bound of attempts, and other ends don't
    Given a leased job state whose queue allows 2 attempts
    When the leased job state takes job A with steps "2"
    And the leased job state places "0.0.0 0.0.1" of A on one
    And the leased job state hears that run 1 of "0.0.0 0.0.1" of A ended failed
    Then the leased job state shows A as running
    When the leased job state places "0.0.0" of A on one
    And the leased job state hears that run 2 of "0.0.0" of A ended stopped
    And the leased job state places "0.0.0" of A on one
    And the leased job state lets go of run 3 of "0.0.0" of A as lapsed
    Then the leased job state shows A as running
    When the leased job state places "0.0.0" of A on one
    And the leased job state hears that run 4 of "0.0.0" of A ended failed
    Then the leased job state shows A as failed
    When the leased job state places "0.0.1" of A on one
    Then nothing was placed

  Scenario: a gang's failures count once a run
    Given a leased job state whose queue allows 2 attempts
    When the leased job state takes job A with steps "3 gang"
    And the leased job state places "0.0.0 0.0.1 0.0.2" of A on one
    And the leased job state hears that run 1 of "0.0.0 0.0.1 0.0.2" of A ended failed
    Then the leased job state shows A as running
    When the leased job state places "0.0.0 0.0.1 0.0.2" of A on one
    And the leased job state hears that run 2 of "0.0.2" of A ended failed
    Then the leased job state shows A as failed

  Scenario: a gang's failures count once a run though an older run's end comes between
    Given a leased job state whose queue allows 3 attempts
    When the leased job state takes job A with steps "2 gang"
    And the leased job state places "0.0.0 0.0.1" of A on one
    And the leased job state lets go of run 1 of "0.0.0 0.0.1" of A as lapsed
    And the leased job state places "0.0.0 0.0.1" of A on two
    And the leased job state hears that run 2 of "0.0.0" of A ended failed
    And the leased job state hears that run 1 of "0.0.0" of A ended failed
    And the leased job state hears that run 2 of "0.0.1" of A ended failed
    Then the leased job state shows A as running

  Scenario Outline: a lasting task that ended <how> starts again beyond all attempts
    Given a leased job state whose queue allows 1 attempts
    When the leased job state takes job A with steps "1 lasts"
    And the task "0.0.0" of A is placed and ends <how> 5 times
    Then the leased job state shows A as running
    And the leased job state has "0.0" ready
    When the leased job state places "0.0.0" of A on one
    Then run 6 was placed
    When the leased job state cancels A
    Then the leased job state shows A as cancelled

    Examples:
      | how     |
      | done    |
      | failed  |
      | stopped |
      | lapsed  |

  Scenario: a lapsed run's end done that comes late counts once, and ends what was started since
    Given a leased job state whose queue allows 3 attempts
    When the leased job state takes job A with steps "1; 1 after 0"
    And the leased job state places "0.0.0" of A on one
    And the leased job state lets go of run 1 of "0.0.0" of A as lapsed
    And the leased job state places "0.0.0" of A on two
    And the leased job state hears that run 1 of "0.0.0" of A ended done
    Then the leased job state answers done
    And run 2 of "0.0.0" of A is held and not wanted
    And the leased job state has "0.1" ready
    When the leased job state hears that run 1 of "0.0.0" of A ended done
    Then the leased job state answers stale
    When the leased job state hears that run 2 of "0.0.0" of A ended done
    Then the leased job state answers stale
    And the leased job state has "0.1" ready

  Scenario: a lapsed run's failure that comes late counts once
    Given a leased job state whose queue allows 2 attempts
    When the leased job state takes job A with steps "1"
    And the leased job state places "0.0.0" of A on one
    And the leased job state lets go of run 1 of "0.0.0" of A as lapsed
    And the leased job state places "0.0.0" of A on two
    And the leased job state hears that run 1 of "0.0.0" of A ended failed
    And the leased job state hears that run 1 of "0.0.0" of A ended failed
    Then the leased job state answers stale
    And the leased job state shows A as running
    And run 2 of "0.0.0" of A is held and wanted
    When the leased job state hears that run 2 of "0.0.0" of A ended failed
    Then the leased job state shows A as failed

  Scenario: what was never sent can't end late
    Given a leased job state whose queue allows 3 attempts
    When the leased job state takes job A with steps "1"
    And the leased job state places "0.0.0" of A on one
    And the leased job state lets go of run 1 of "0.0.0" of A as unsent
    Then the leased job state has "0.0" ready
    And what run 1 or 1 of "0.0.0" of A held is free
    When the leased job state hears that run 1 of "0.0.0" of A ended done
    Then the leased job state answers stale
    When the leased job state places "0.0.0" of A on two
    Then run 2 was placed

  Scenario: a cancelled job starts nothing more, and its capacity is held until its runs have ended
    Given a leased job state whose queue allows 3 attempts
    When the leased job state takes job A with steps "2"
    And the leased job state places "0.0.0" of A on one
    And the leased job state cancels A
    Then the leased job state shows A as cancelled
    And the leased job state has "" ready
    And run 1 of "0.0.0" of A is held and not wanted
    When the leased job state places "0.0.1" of A on one
    Then nothing was placed
    When the leased job state hears that run 1 of "0.0.0" of A ended done
    Then the leased job state answers late
    And the leased job state shows A as cancelled
    And what run 1 or 1 of "0.0.0" of A held is free
    When the leased job state cancels A
    Then the leased job state answers final

  Scenario: the state of a final job is kept for its time, and dropped once another ends after it
    Given a leased job state whose queue allows 3 attempts
    When the leased job state takes job A with steps "1"
    And the leased job state cancels A
    And the leased job state takes job B with steps "1"
    And the leased job state takes job C with steps "1"
    And the final states' time has all but passed on the leased job state
    And the leased job state cancels B
    Then the leased job state shows A as cancelled
    When the final states' time has passed on the leased job state
    And the leased job state cancels C
    Then the leased job state does not know A
    And the leased job state shows B as cancelled
    When the leased job state cancels A
    Then the leased job state answers missing

  Scenario Outline: <what> under an older placing epoch is refused and changes nothing
    Given a cluster state whose leased job state holds a job, and a placing epoch followed by another
    When <what> comes under the older epoch
    Then it is refused for its epoch and the leased job state is as it was
    When <what> comes under the newer epoch
    Then it is taken and the leased job state has changed

    Examples:
      | what        |
      | a placement |
      | a stop      |

  Scenario Outline: a control daemon that starts from an image goes on like one that never stopped, seed <seed>
    Given three cluster states that apply the same 800 random operations of seed <seed>
    Then all along their images are equal, whichever of them was taken from an image between
    And the same batches are ready in each, namely those that may start
    And no run number was ever given twice, and no gang was ever placed in part

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario Outline: a tenant's tasks start up to its maximum of <resource>, and another once one has ended
    Given a leased job state in which tenant acme may run "<resource>=<most>"
    When the leased job state takes job A of tenant acme with steps "3 <resource>=<each>"
    And the leased job state takes job B of tenant free with steps "3 <resource>=<each>"
    And the leased job state takes job C with steps "3 <resource>=<each>"
    And the leased job state places "0.0.0 0.0.1 0.0.2" of A on one
    Then run 1 was placed 2 times
    When the leased job state places "0.0.0 0.0.1 0.0.2" of B on one
    Then run 1 was placed 3 times
    When the leased job state places "0.0.0 0.0.1 0.0.2" of C on two
    Then run 1 was placed 3 times
    When the leased job state places "0.0.2" of A on two
    Then nothing was placed
    When the leased job state hears that run 1 of "0.0.0" of A ended done
    And the leased job state places "0.0.2" of A on two
    Then run 1 was placed

    Examples:
      | resource | most | each |
      | cpu      | 250  | 100  |
      | mem_mb   | 200  | 100  |
      | gpu      | 2    | 1    |

  Scenario: a gang of a tenant starts whole within its maximum or not at all
    Given a leased job state in which tenant acme may run "cpu=350"
    When the leased job state takes job A of tenant acme with steps "2; 3 gang"
    And the leased job state places "0.0.0" of A on one
    And the leased job state places "0.1.0 0.1.1 0.1.2" of A on two
    Then nothing was placed
    When the leased job state hears that run 1 of "0.0.0" of A ended done
    And the leased job state places "0.1.0 0.1.1 0.1.2" of A on two
    Then run 1 was placed 3 times
    When the leased job state places "0.0.1" of A on one
    Then nothing was placed

  Scenario Outline: a task larger than its tenant's maximum runs where nothing else takes of that, <kind>
    Given a leased job state in which tenant acme may run "cpu=150 gpu=1"
    When the leased job state takes job A of tenant acme with steps "1 cpu=100"
    And the leased job state takes job B of tenant acme with steps "<steps>"
    And the leased job state places "0.0.0" of A on one
    And the leased job state places "0.0.0" of B on two
    Then nothing was placed
    When the leased job state hears that run 1 of "0.0.0" of A ended done
    And the leased job state places "0.0.0" of B on two
    Then run 1 was placed

    Examples:
      | kind         | steps             |
      | by itself    | 1 cpu=900         |
      | a gang of it | 1 cpu=900 gang    |

  Scenario: a task larger than its tenant's maximum does not wait for what takes other resources
    Given a leased job state in which tenant acme may run "cpu=150 gpu=1"
    When the leased job state takes job A of tenant acme with steps "1 cpu=100 lasts"
    And the leased job state takes job B of tenant acme with steps "2 cpu=0 gpu=2"
    And the leased job state places "0.0.0" of A on one
    And the leased job state places "0.0.0 0.0.1" of B on two
    Then only "0.0.0" was placed

  Scenario: of tasks larger than their tenant's maximum one runs at a time
    Given a leased job state in which tenant acme may run "cpu=150"
    When the leased job state takes job A of tenant acme with steps "2 cpu=900"
    And the leased job state places "0.0.0 0.0.1" of A on one
    Then only "0.0.0" was placed

  Scenario: a maximum that is lowered below what runs stops nothing, and nothing starts until there is room
    Given a leased job state in which tenant acme may run "cpu=400"
    When the leased job state takes job A of tenant acme with steps "5"
    And the leased job state places "0.0.0 0.0.1 0.0.2 0.0.3" of A on one
    Then run 1 of "0.0.3" of A may start
    When the maximum of tenant acme becomes "cpu=200"
    Then run 1 of "0.0.3" of A is held and wanted
    And run 1 of "0.0.3" of A may not start any more
    When the leased job state hears that run 1 of "0.0.0 0.0.1" of A ended done
    And the leased job state places "0.0.4" of A on one
    Then nothing was placed
    When the leased job state hears that run 1 of "0.0.2" of A ended done
    And the leased job state places "0.0.4" of A on one
    Then run 1 was placed

  Scenario Outline: what runs of a job that is over counts against its tenant's maximum until it has ended, <read>
    Given a leased job state in which tenant acme may run "cpu=200"
    When the leased job state takes job A of tenant acme with steps "2"
    And the leased job state takes job B of tenant acme with steps "1"
    And the leased job state places "0.0.0 0.0.1" of A on one
    And the leased job state cancels A
    And <read>
    Then tenant acme uses "200 0 0"
    When the leased job state places "0.0.0" of B on one
    Then nothing was placed
    When the leased job state hears that run 1 of "0.0.0" of A ended stopped
    Then the leased job state answers late
    When the leased job state places "0.0.0" of B on one
    Then run 1 was placed
    When the leased job state hears that run 1 of "0.0.1" of A ended stopped
    And the leased job state hears that run 1 of "0.0.0" of B ended done
    Then no tenant uses anything

    Examples:
      | read                                      |
      | 1 seconds have passed on the leased job state |
      | the leased job state is read from its image |

  Scenario Outline: an image in which <part> know no tenant is read
    Given a leased job state in which tenant acme may run "cpu=200"
    When the leased job state takes job A of tenant acme with steps "2"
    And the leased job state takes job B of tenant acme with steps "1"
    And the leased job state places "0.0.0" of A on one
    And the leased job state cancels B
    And the leased job state is read from an image in which "<part>" know no tenant
    Then run 1 of "0.0.0" of A is held and wanted
    And the leased job state shows B as cancelled
    When the leased job state hears that run 1 of "0.0.0" of A ended done
    And the leased job state places "0.0.1" of A on one
    Then run 1 was placed

    Examples:
      | part               |
      | jobs               |
      | jobs that are over |
      | placements         |

  Scenario Outline: no tenant has more placed than its maximum whatever comes, seed <seed>
    Given three cluster states that apply the same 800 random operations of tenants of seed <seed>
    Then all along their images are equal, whichever of them was taken from an image between
    And the same batches are ready in each, namely those that may start
    And no tenant ever had more placed than its maximum, and the sums were those of its placements

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 5    |

  Scenario Outline: a configuration whose tenants have <form>, taken before they were looked at, breaks nothing
    Given a leased job state whose queue allows 3 attempts
    When a version that does not look at tenants takes a configuration whose tenants have <form>
    And the leased job state is read from its image
    Then no key is asked for and no tenant is limited
    When the leased job state takes job A with steps "1"
    And the leased job state places "0.0.0" of A on one
    Then run 1 was placed

    Examples:
      | form                     |
      | no list                  |
      | a name that is a number  |
      | keys that are numbers    |
      | no keys                  |
      | a maximum that is a list |
      | a maximum in words       |

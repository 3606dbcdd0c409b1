Feature: Progress of runs
  A run that stands still is stopped and started elsewhere; one that goes on, or waits for others, is left alone.

  Scenario Outline: sound workers are never taken for stalled, whatever they run: <what>
    When runs of <what> go on at sound workers, by seeds <first> to <last>
    Then none was stopped as stalled

    Examples:
      | what        | first | last |
      | gangs       | 1     | 60   |
      | single work | 61    | 100  |

  Scenario Outline: a run on a hung worker is always found: <what>
    When one worker hangs while it runs <what>, by seeds <first> to <last>
    Then each time its run was stopped in time, and no other

    Examples:
      | what        | first | last |
      | gangs       | 1     | 60   |
      | single work | 61    | 100  |

  Scenario: members of a gang that are done wait for one that takes three times as long
    When a gang of 4 tasks of 6 seconds runs, one of them 3 times as slow
    Then none was stopped as stalled

  Scenario: members of a gang that have come wait for one that comes 4 seconds later
    When a gang of 4 tasks of 6 seconds runs, one of them 4 seconds late
    Then none was stopped as stalled

  Scenario Outline: a run stopped as stalled that goes on <how> is counted as misjudged
    Given a run was stopped as stalled that had only paused
    When it tells that it <how>
    Then 1 run counts as misjudged

    Examples:
      | how       |
      | got on    |
      | was done  |

  Scenario: a run stopped as stalled that ends so is not counted
    Given a run was stopped as stalled that had only paused
    When it tells that it stopped
    Then 0 runs count as misjudged

  Scenario: a task that takes 20 times as long as its like is stopped as slow once, and then left to end
    Given a step of 8 tasks of 2 seconds, one of them 20 times as long
    When it goes on, each run that is stopped starting again on another worker
    Then that task was stopped as slow once, no other was, and all are done

  Scenario: a slow worker is found by a run that was stopped on another, beside one of its own
    Given a step of 8 tasks of 8 seconds, two of them on one worker that is 6 times as slow, one on another
    When one that was stopped on the first starts again on the second
    Then both that run there are stopped, too, and all are done

  Scenario: what is known of lengths is bounded by the jobs that are open
    When 20000 batches of jobs that end soon after are learnt, 50 of them open at a time
    Then no more than 2100 of them are known at any time, and all that are open are

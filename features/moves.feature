Feature: Moves
  Work is stopped or moved only for a stated cause, and never runs in two places meanwhile.

  Scenario: a feed on a draining worker moves once there is capacity elsewhere
    Given a quiet simulated fleet
    When a feed runs and its worker is drained
    Then it runs on another worker within 5 seconds, its first run over before the second began

  Scenario: a feed in an emptied zone moves to another zone, and back is not forced
    Given a quiet simulated fleet
    When a feed runs and its zone is emptied and taken back
    Then it runs in another zone within 5 seconds, its first run over before the second began

  Scenario: a feed on a draining worker stays while there is no capacity elsewhere
    Given a quiet simulated fleet
    When a feed runs, all other capacity is taken, and its worker is drained
    Then it runs on there after 6 seconds, and moves once capacity is free

  Scenario: a feed whose worker is cut off is not started anywhere else
    Given a quiet simulated fleet
    When a feed runs and its worker is cut off for 10 seconds
    Then it was started once, and runs on

  Scenario: urgent work makes work of a queue that yields stop, at no cost of an attempt
    Given a quiet simulated fleet
    When all capacity is taken by work that yields and an urgent job comes
    Then the urgent job starts within 3 seconds, and what yielded runs again with no failure counted

  Scenario: work beyond its time limit is killed and counts as failed
    Given a quiet simulated fleet
    When a task with a limit of 1 second and 2 attempts would run for 60
    Then it is killed twice, the job fails, and no attempt ran over 2 seconds

  # Guards against the fault of end_lists.feature in pushed jobs: their workers' reports are never cut.
  Scenario: pushed tasks whose ends come in long reports after a drain are not run again
    Given a simulated fleet of two workers that can run 1000 tasks each, and a third one that is drained
    When 1300 tasks run, and end while their workers are cut off and drained and the third is not any more
    Then at least 600 ends are reported at once, and no task was run again
    And the job is finished

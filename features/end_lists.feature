Feature: Lists of ends cut at their limit
  A worker lists at most 500 ends in a heartbeat. While more may wait to be listed, a run that a heartbeat
  names nowhere may have ended, so nothing is concluded from its absence.

  Background:
    Given a control daemon that leads alone, with routes in force and leases of 4 seconds

  # Guards against ends behind a full list that were taken for runs that never started, and run again.
  Scenario Outline: <count> tasks that end <how> are not run again when <what>
    Given worker one runs all of a job of <count> tasks
    When all its runs end <how>, and <what>
    And both workers heartbeat until all ends of worker one are seen
    Then no task was started after one of its runs had ended done
    And no start was told twice
    And the failures of each task are counted

    Examples: what forbids further starts
      | count | how    | what                                                |
      | 499   | done   | worker one drains                                   |
      | 500   | done   | worker one drains                                   |
      | 501   | done   | worker one drains                                   |
      | 700   | done   | worker one drains                                   |
      | 1700  | done   | worker one drains                                   |
      | 700   | failed | worker one drains                                   |
      | 1700  | done   | the zone of worker one is evacuated                 |
      | 700   | failed | the zone of worker one is evacuated                 |
      | 1700  | done   | all its runs are ordered to stop                    |
      | 700   | failed | all its runs are ordered to stop                    |
      | 700   | done   | the job is cancelled                                |
      | 1700  | done   | a new leader hears of it first, and worker one drains |

    Examples: nothing forbids further starts
      | count | how    | what                                                |
      | 1700  | done   | nothing else happens                                |
      | 700   | failed | nothing else happens                                |
      | 1700  | done   | a new leader hears of it first                      |

  Scenario: 700 tasks that end done are not run again when the maximum of their tenant is lowered
    Given worker one runs all of a job of 700 tasks of a tenant
    When all its runs end done while the tenant's maximum is lowered to 50 tasks
    And both workers heartbeat until all ends of worker one are seen
    Then no task was started after one of its runs had ended done
    And no start was told twice
    And the failures of each task are counted

  # Guards against the failure of a gang's last member that was lost, as its run counted as never started.
  Scenario: a gang whose failed member is listed last has that failure counted before it starts again
    Given worker one runs all of a gang of 700 tasks
    When its last member fails, the others end broken, and an answer is lost
    And both workers heartbeat until all ends of worker one are seen
    Then the gang's run counts as one failure
    And no member of it was started again before that

  # Guards against an end that is told to be seen before it counts, when the lists of two workers are cut.
  Scenario Outline: two workers that leave with <count> ends each have no task run again
    Given workers one and three run all of a job of <tasks> tasks, and worker two is idle
    When all their runs end done, and both drain
    And the workers heartbeat in turn until all ends are seen, then leave
    Then no task was started after one of its runs had ended done
    And the job is shown as completed

    Examples:
      | count | tasks |
      | 700   | 1400  |
      | 1200  | 2400  |

  Scenario: a run that was never sent is placed elsewhere once the list of a draining worker is whole
    Given worker one runs all of a job of 700 tasks
    When all its runs end done, one more job is placed on worker one, and worker one drains
    And both workers heartbeat until all ends of worker one are seen
    Then the task of the other job is started on worker two alone

  Scenario: a worker whose list is full is asked for the rest at once
    Given worker one runs all of a job of 700 tasks
    When all its runs end done, and worker one drains
    And worker one lists its ends
    Then it is asked for its next heartbeat within 0.06 seconds
    When worker one lists its ends until all are seen
    Then it is asked for its next heartbeat in 0.5 seconds

Feature: Cost of jobs
  What a job may cost in memory is known before it is taken, and a full cluster state still reads and cancels.

  # guards against daemons that are ended for their memory by jobs that were all answered 200 (review/4)
  Scenario Outline: <jobs> are refused before they take the memory of the daemons
    Given a control daemon with 64 MB of memory
    When <jobs> are handed in until one is refused
    Then it is told 429, the code state_full, and to come back
    And a small job is taken still
    And with all of their tasks begun the jobs take no more memory than was counted
    And every job that was taken is read, and cancelled within 1 second
    And one of <jobs> is taken again

    Examples:
      | jobs                                          |
      | chains of 10 tasks, 1000 times in an hour     |
      | single tasks, 1000 times in an hour           |
      | 10 steps of 1000 tasks                        |
      | 5 steps of 84 tasks, 6 times in an hour       |
      | 64 steps each after all before, 150 times     |
      | 10 steps of 1000 tasks that ask for nothing   |

  Scenario: jobs that are proposed at once are counted before any of them is applied
    Given a control daemon with 64 MB of memory
    When 30 chains of 10 tasks, 1000 times in an hour are handed in at once, while the disk does not save
    Then at most 2 of them are taken

  Scenario: a job that recurs takes memory for the work that is due, not for its times
    Given a control daemon with 64 MB of memory
    When 1 job of single tasks, 1000 times in an hour, is handed in
    Then it takes less than 20 KB of memory

  Scenario: a state over the bound that an earlier version left is taken up, and cancelled down
    Given the image of 12 chains of 10 tasks, 1000 times in an hour, which an earlier version took
    And a control daemon with 64 MB of memory that starts from it
    Then the jobs take less than 2 MB of memory
    When one of chains of 10 tasks, 1000 times in an hour is handed in
    Then it is told 429, the code state_full, and to come back
    And every job that was taken is read, and cancelled within 1 second
    And one of chains of 10 tasks, 1000 times in an hour is taken again

  Scenario: placed runs have a bound beside the jobs
    Given a control daemon with 64 MB of memory
    When 10 steps of 1000 tasks that ask for nothing are handed in until one is refused
    And workers take all that they are given for 60 seconds
    Then the state takes at most 0.7 of the memory, and some tasks wait

  # guards against daemons that are all ended by an entry of the schedule whose job is over
  Scenario: the name of a cancelled job that was to recur is used again, and nothing of the old one is left
    Given a control daemon with 64 MB of memory
    When 1 job of single tasks, 1000 times in an hour, is handed in
    And it is cancelled and forgotten, and a job that runs once is handed in under its name
    And that job is done, and the hour passes
    Then the control daemon still leads, and nothing is scheduled

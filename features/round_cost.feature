Feature: Cost of rounds
  What a round costs follows what it can place and what has changed, not the fleet times the work that waits.

  Scenario Outline: after a zone is lost, one more of <what> that wait does not cost a round a look at every worker
    Given fleets of 150 and of 750 workers, 20 in a rack, of which a fifth were lost and the others are more than half full
    When in each 20 and then 60 <what> wait that no worker has capacity for
    Then one more of them costs a round of the large fleet at most 2 times what it costs one of the small fleet

    Examples:
      | what                   |
      | gangs that want a rack |
      | gangs                  |
      | scans                  |

  # guards against leaders that stand still and are deposed beside jobs that recur (review/5)
  Scenario Outline: a round costs no more for the times of jobs that all are due, <steps>
    Given fleets of 7 workers, each with a task on it
    When 6 jobs of 10 <steps> come to the first, each 16 times, and to the second 160 times
    Then a round of the second costs at most 1.3 times what it costs in the first

    Examples:
      | steps                                |
      | tasks for a label that no worker has |
      | tasks larger than a worker           |
      | tasks that wait for room             |
      | tasks near a rack that wait for room |
      | tasks apart that wait for room       |

  # guards against ends that each look at all batches of a job
  Scenario: the end of a task costs no more in a job that recurs often
    Given fleets of 7 workers, each with a task on it
    When 1 jobs of 10 tasks that run at once come to the first, each 16 times, and to the second 900 times
    Then the end of a task in the second costs at most 1.3 times what it costs in the first

  # guards against an idle service that waits for work of which nothing is due
  Scenario: work that is not due delays no round
    Given 3 working workers of 16 cores, each with a task that lasts
    And 140 jobs of single tasks that recur 1000 times, from an hour on
    When checks come once a second for 10 seconds, and with every 99th one a job of 1 tasks that always fail, seed 1
    Then each check was started within 1 second

  # guards against leaders that look at every member of a gang for each of the gangs that wait
  Scenario: a look for idle capacity costs no more for the members of gangs that wait
    Given fleets of 7 workers, each with a task on it
    When 3 jobs of 10 gangs of 5 and of 50 members that no worker has capacity for come to the fleets, each 16 times
    Then a round of the second costs at most 2 times what it costs in the first

  # guards against leaders that are busy with rounds all the time beside thousands of steps that wait
  Scenario: a round looks at a bounded part of a backlog, new work first and the rest in turn
    Given fleets of 7 workers, each with a task on it
    When 40 and 160 jobs of 64 tasks that wait for room come to the fleets
    Then a round of the second costs at most 1.3 times what it costs in the first
    And a scan that comes then starts in the next round
    And after 10 more rounds each of the jobs was found short of capacity

  # guards against a leader that has no processor time left in a large fleet: SHORT on tlq-mezcla-large, issue 71
  Scenario: a round that starts a small job costs little for each worker of the fleet
    Given fleets of 150 and of 750 workers, 20 in a rack, of which a fifth were lost and the others are more than half full
    When a job of 5 tasks that run at once comes to each
    Then one more worker costs the next round at most 255 instructions

Feature: Reliability
  Blame is evidence, and evidence gets old: work that fails everywhere is no worker's fault, and a worker that
  has recovered is found to have recovered.

  # guards against a service that gets no more work after two jobs that can't be done (review/6)
  Scenario Outline: jobs that fail everywhere, beside a task that lasts on each worker, keep no sound job from work, seed <seed>
    Given 7 working workers of 16 cores, each with a task that lasts
    When checks come once a second for 20 seconds, and with every <every>th one a job of <width> tasks that always fail, seed <seed>
    And the workers work for 5 seconds
    Then every check is completed
    And no worker is distrusted

    Examples:
      | every | width | seed |
      | 4     | 36    | 1    |
      | 1     | 3     | 2    |
      | 1     | 36    | 3    |
      | 3     | 60    | 4    |
      | 2     | 1     | 5    |

  # guards against a worker that is avoided for ever for failures of long ago
  Scenario: a worker that has recovered gets work again, though a task lasts on it
    Given 7 working workers of 16 cores, each with a task that lasts
    And 2 workers fail all of their work
    When checks come for 15 seconds that need all workers but two
    And the workers that failed are well again
    And checks come for 20 seconds that need all workers but two
    Then the workers that failed have started work in the last 10 seconds
    And every check is completed

  Scenario: a worker that fails all of its work is given little of it
    Given 7 working workers of 16 cores, each with a task that lasts
    And 2 workers fail all of their work
    When checks come for 40 seconds that need all workers but two
    Then the workers that fail have started at most 4 tasks each in the last 20 seconds
    And every check is completed

  Scenario: where nearly all workers fail their work, the rest of the room is used all the same
    Given 3 working workers of 16 cores, each with a task that lasts
    And 2 workers fail all of their work
    When checks come for 20 seconds that need all workers but two
    And the workers that failed are well again
    And checks come once a second for 10 seconds, and with every 99th one a job of 1 tasks that always fail, seed 7
    And the workers work for 5 seconds
    Then the last 10 checks are completed

  # guards against a worker that takes orders and never gets its trial, since a feed runs on it
  Scenario: a feed does not keep a worker that takes orders from its trial
    Given 1 workers with capacity 8
    And a feed runs on it, and 12 of its tasks have failed
    When a job comes that may start now
    Then it is started in the first round

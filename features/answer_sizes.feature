Feature: Sizes of answers to heartbeats
  A worker takes an answer of at most 4 MiB. Starts that would make it larger come with the next answers.

  Background:
    Given a control daemon that leads alone, with routes in force and leases of 4 seconds

  # Guards against: a job whose starts don't fit one answer never runs, and ends what its worker runs (LOST).
  Scenario Outline: <count> tasks with a specification of <length> characters like <character> all start on one worker
    Given a worker that takes answers of at most 4 MiB runs a task of another job
    When a job of <count> tasks with a specification of <length> times <character> is submitted
    And the worker heartbeats until all tasks run, 60 times at most
    Then every answer was small enough to be taken, and each start was told once
    And the task of the other job still runs

    Examples:
      | count | length | character |
      | 1200  | 4000   | x         |
      | 1200  | 4000   | €         |
      | 1200  | 4000   | 😀        |
      | 4000  | 13     | x         |

Feature: Assigning
  Work of jobs does not wait beside room that it could take.

  Scenario: room that is kept for a wave is taken by it, whatever larger wave stands before it
    Given 7 workers of 8 accelerators
    And inspections of 3 seconds fill 3 workers
    And inspections of 30 seconds fill 4 workers
    When a scan of 7 tasks comes, and scans of 1 and of 2 tasks, each task as large as a worker
    And 9 seconds pass
    Then no worker has been empty for over 1 seconds while a task waited that it could take

  Scenario: by no seed does a job wait long beside two workers that could take it
    When scans, gangs, inspections and work that lasts come by chance to 7 workers, by seeds 1 to 24
    Then by no seed has a job with nothing running waited over 3 seconds beside ample room

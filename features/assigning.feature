Feature: Assigning
  Work of jobs does not wait beside capacity that it could take.

  Scenario: capacity that is kept for a batch is taken by it, whatever larger batch stands before it
    Given 7 workers of 8 accelerators
    And inspections of 3 seconds fill 3 workers
    And inspections of 30 seconds fill 4 workers
    When a scan of 7 tasks comes, and scans of 1 and of 2 tasks, each task as large as a worker
    And 9 seconds pass
    Then no worker has been empty for over 1 seconds while a task waited that it could take

  Scenario: by no seed does a job wait long beside two workers that could take it
    When scans, gangs, inspections and work that lasts come by chance to 7 workers, by seeds 1 to 24
    Then by no seed has a job with nothing running waited over 3 seconds beside ample capacity
    And by no seed has the code counted a broken invariant

  Scenario: less urgent work is not starved by urgent work that asks for twice the capacity there is
    Given 7 workers of 8 accelerators
    When for 60 seconds scans come that ask for 2 times the capacity, and inspections for a tenth of it
    Then of the inspections that came in the first 40 seconds 0.8 were done in time
    And scans had 0.7 of the capacity

  Scenario Outline: with <count> workers less urgent work is not starved by urgent work as large as a worker
    Given <count> workers of 8 accelerators
    When for 90 seconds <urgent> come that ask for 2 times the capacity, and inspections <large> accelerators large
    Then inspections had between 0.1 and 0.6 of the capacity, scans at least 0.2

    Examples:
      | count | urgent | large |
      | 1     | scans  | 1     |
      | 2     | scans  | 8     |
      | 3     | scans  | 1     |
      | 4     | scans  | 8     |
      | 4     | gangs  | 1     |
      | 7     | gangs  | 8     |

  Scenario: less urgent work that no worker can take withholds nothing from urgent work
    Given 7 workers of 8 accelerators
    And 50 inspections that need a label that no worker has have waited for 60 seconds
    When scans of 5 seconds have just taken all the capacity
    Then all accelerators are in use

  Scenario: workers that are lost with all they run take nothing of the others' capacity
    Given 7 workers of 8 accelerators
    And scans of 30 seconds fill 4 workers, which then fall silent
    When a scan of 3 tasks comes, each as large as a worker
    Then within 0.3 seconds all its tasks have started

  Scenario: a task does not wait long for capacity near its data beside idle workers
    Given 7 workers of 8 accelerators
    And inspections of 30 seconds fill the 3 workers of one rack
    When an inspection of 20 seconds comes whose data lies in that rack
    Then within 2.5 seconds all its tasks have started

  Scenario: capacity is not held back for work that can wait until what takes it is done
    Given 7 workers of 8 accelerators
    When scans of 5 seconds have just taken all the capacity
    And inspections of 2 seconds come that ask for 3 times the capacity
    Then within 1 seconds 0.9 of all accelerators are in use

  Scenario: capacity is held back for work that can't wait until what takes it is done
    Given 7 workers of 8 accelerators
    When scans of 5 seconds have just taken all the capacity
    And inspections of 20 seconds come that ask for 3 times the capacity
    Then within 1 seconds 0.4 of all accelerators are in use
    And after 1 seconds at most 0.55 of them

  Scenario: a step that is wider than the capacity does not hold up narrow ones that are due before it
    Given 7 workers of 8 accelerators
    And inspections of 2 seconds fill 7 workers
    When an inspection of 168 tasks of 2 seconds comes, and then 5 inspections of 2 tasks of 2 seconds
    Then the 5 are done within 5 seconds

  Scenario Outline: the code counts it when <what>
    Given 7 workers of 8 accelerators
    And an assigner in which <fault>
    And inspections of 3 seconds fill <some> workers
    And inspections of 30 seconds fill <others> workers
    When a scan of 7 tasks comes, and scans of 1 and of 2 tasks, each task as large as a worker
    And 9 seconds pass
    Then it has counted that <what>, for each job once

    Examples:
      | fault                                   | some | others | what                                              |
      | a batch may not take what is kept for it | 3    | 4      | kept room is not taken by the wave it is kept for |
      | every budget is used up                 | 5    | 2      | a job waits beside ample idle room                |

  Scenario: each mechanism can be switched off by itself, and no rule depends on it
    When the same comes to 8 workers with each mechanism switched off by itself
    Then no worker ran more than it has capacity for, and work starves without reserve_for_waiting and preempt, no other

  Scenario: a task that asks for nothing that its tenant is limited in is placed
    Given 2 workers of 8 accelerators, and tenant acme that may run 4 accelerators
    When 1 scans of acme come, each of 3 tasks of 0 accelerators for 5 seconds
    Then all tasks that came last have started

  Scenario: batches of one tenant in one round get together what is left to it, and what waits is told why
    Given 3 workers of 8 accelerators, and tenant acme that may run 10 accelerators
    When 5 scans of acme come, each of 4 tasks of 1 accelerators for 5 seconds
    Then 10 accelerators of acme are in use, and no more ever were
    And what waits is told that its tenant is at its maximum, and is short of nothing
    And the leased job state took all that rounds placed
    When 1 scans of free come, each of 14 tasks of 1 accelerators for 5 seconds
    Then all tasks that came last have started

  Scenario Outline: a gang of <tasks> tasks, each larger than its tenant may run
    Given 3 workers of 8 accelerators, and tenant acme that may run 7 accelerators
    When a gang of <tasks> tasks of 8 accelerators of acme comes
    Then <what>
    And the leased job state took all that rounds placed

    Examples:
      | tasks | what                                                                              |
      | 1     | all tasks that came last have started                                             |
      | 2     | what waits is told that its tenant is at its maximum, and is short of nothing     |

  Scenario: a tenant at its maximum keeps no worker from others
    Given 4 workers of 8 accelerators, and tenant acme that may run 8 accelerators
    When 1 scans of acme come, each of 1 tasks of 8 accelerators for 60 seconds
    And 3 scans of acme come, each of 2 tasks of 8 accelerators for 60 seconds
    And inspections of free that ask for more than all capacity come for 20 seconds
    Then 0.95 of all accelerators were in use meanwhile
    And 8 accelerators of acme are in use, and no more ever were
    And what waits is told that its tenant is at its maximum, and is short of nothing

  Scenario Outline: no more runs are stopped for batches than their tenant may use, <batches> of <tasks> tasks
    Given 6 workers of 8 accelerators, and tenant acme that may run 8 accelerators
    When 1 inspections of free that save come, each of 48 tasks of 1 accelerators for 60 seconds
    And <batches> scans of acme come, each of <tasks> tasks of 8 accelerators for 5 seconds
    And 0.6 seconds of rounds pass
    Then 8 runs of free are being stopped

    Examples:
      | batches | tasks |
      | 1     | 12    |
      | 3     | 1     |

  Scenario: work claims no more of the capacity than its tenant may use
    Given 4 workers of 8 accelerators, and tenant acme that may run 2 accelerators
    When 1 scans of free come, each of 4 tasks of 8 accelerators for 60 seconds
    And 3 inspections of acme come, each of 8 tasks of 1 accelerators for 2 seconds
    And 20 seconds of rounds pass
    Then inspections claim 2 accelerators

  Scenario: by no seed has a tenant more than its maximum, or waits work of others beside idle capacity
    When work of limited tenants and of others comes by chance to 7 workers, by seeds 1 to 8
    Then by no seed had a tenant more than its maximum and one task, and the state took all that rounds placed
    And by no seed has a job with nothing running waited over 3 seconds beside ample capacity
    And by no seed has the code counted a broken invariant

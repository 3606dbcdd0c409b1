Feature: Leased job trials
  Jobs whose tasks run under leases keep every rule under every fault scenario; injected faults are found.

  Scenario Outline: <scenario> breaks no rule of jobs
    When jobs under leases meet the fault scenario <scenario> with seeds 0 to 5
    Then no history check finds a fault

    Examples:
      | scenario      |
      | calm          |
      | leader-killed |
      | leader-stops  |
      | leader-frozen |
      | leader-deaf   |
      | wiped         |
      | all-killed    |
      | disks-lost-in-outage |
      | tenants-crash |
      | tenants-cut   |
      | tenants-leave |
      | answers-late  |
      | beats-stale   |
      | lives-mixed   |
      | frames-replayed |
      | storm         |
      | tenants-leave-first |
      | ends-beyond-list |
      | cancelled-early |

  Scenario Outline: <scenario> breaks no rule of jobs while followers receive the heartbeats
    Given the condition large-fleet
    When jobs under leases meet the fault scenario <scenario> with seeds 10 to 12
    Then no history check finds a fault

    Examples:
      | scenario      |
      | calm          |
      | leader-killed |
      | leader-frozen |
      | leader-deaf   |
      | all-killed    |
      | tenants-cut   |
      | answers-late  |
      | beats-stale   |
      | storm         |

  # guards against a new leader that takes the second of two late heartbeats for a fresh one
  Scenario: late heartbeats that followers forward to a new leader break no rule of jobs
    Given the condition large-fleet
    When jobs under leases meet the fault scenario beats-stale with seeds 108 to 109
    Then no history check finds a fault

  Scenario Outline: <scenario> breaks no rule of jobs while the log is compacted all the time
    Given the condition frequent-snapshots
    When jobs under leases meet the fault scenario <scenario> with seeds 6 to 9
    Then no history check finds a fault

    Examples:
      | scenario      |
      | leader-killed |
      | wiped         |
      | all-killed    |

  Scenario Outline: the injected fault <injected> is found in jobs under leases
    Given the injected fault <injected>
    When jobs under leases meet the fault scenario <scenario> with seeds <seeds>
    Then some history check finds <fault>

    Examples:
      | injected            | scenario      | fault                         | seeds    |
      | every-list-is-whole | ends-beyond-list | had ended done, as noted   | 0 to 11  |
      | absence-at-once     | beats-stale   | had ended done, as noted      | 20 to 31 |
      | hold-not-waited-out | tenants-cut   | had ended done, as noted      | 20 to 31 |
      | lease-ignored       | leader-deaf   | had ended done, as noted      | 20 to 31 |
      | copies-told-early   | disks-lost-in-outage | is unknown             | 20 to 31 |
      | starts-proposed     | leader-deaf   | had ended done, as noted      | 32 to 43 |
      | ends-noted-early    | leader-deaf   | jobs never ended              | 20 to 31 |
      | levels-forgotten    | all-killed    | no job was taken              | 20 to 31 |
      | base-unheeded       | calm          | were both acknowledged        | 20 to 31 |
      | number-is-enough    | calm          | were both acknowledged        | 20 to 31 |
      | taken-unheeded      | answers-late  | was acknowledged and refused  | 20 to 31 |
      | evacuation-in-word  | tenants-leave | was evacuated                 | 20 to 31 |
      | drain-unseen        | tenants-leave | known to drain                | 20 to 31 |
      | leaves-are-ends     | tenants-leave-first | had ended done, as noted | 20 to 31 |
      | failures-forgotten  | calm          | failures                      | 20 to 31 |
      | room-given-early    | calm          | beyond its room               | 20 to 31 |
      | cancel-in-word      | calm          | was cancelled, then           | 20 to 31 |
      | tombstones-unheeded | cancelled-early | after its cancel            | 0 to 5   |
      | tombstones-not-stored | cancelled-early | after its cancel          | 0 to 5   |
      | stops-forgotten     | calm          | ran on after its cancel       | 20 to 31 |
      | order-unheeded      | calm          | was done                      | 20 to 31 |
      | answers-unchecked   | frames-replayed | started, though its job was refused | 44 to 55 |

  Scenario: the same seed gives jobs under leases the same history
    When jobs under leases meet the fault scenario storm twice with seed 3
    Then both histories of jobs are the same to the last event

  Scenario: the same seed gives jobs under leases the same history in another process
    When jobs under leases meet the fault scenario beats-stale with seed 4 in two processes that hash otherwise
    Then both processes tell the same history of jobs

Feature: Trials of keys of tenants
  While keys of tenants are added, replaced and taken away and daemons fail, no call runs with a key that no
  configuration holds, none in force is refused, and no tenant gets at another's job.

  Scenario Outline: <scenario> breaks no rule of jobs and keys
    When jobs under leases meet the fault scenario <scenario> with seeds <seeds>
    Then no history check finds a fault

    Examples:
      | scenario          | seeds  |
      | keys-calm         | 0 to 0 |
      | keys-leaders-fail | 0 to 1 |
      | keys-leader-deaf  | 0 to 0 |
      | keys-answers-lost | 0 to 0 |

  Scenario: no rule of jobs and keys is broken while the log is compacted all the time
    Given the condition frequent-snapshots
    When jobs under leases meet the fault scenario keys-leaders-fail with seeds 3 to 3
    Then no history check finds a fault

  Scenario Outline: the injected fault <injected> is found in calls with keys
    Given the injected fault <injected>
    When jobs under leases meet the fault scenario <scenario> with seeds <seeds>
    Then some history check finds <fault>

    Examples:
      | injected              | scenario         | fault                                      | seeds  |
      | key-unchecked         | keys-calm        | with a key that no configuration ever held | 0 to 0 |
      | missing-key-unchecked | keys-calm        | without a key                              | 0 to 0 |
      | keys-not-renewed      | keys-calm        | that was taken away before                 | 0 to 0 |
      | keys-one-version-late | keys-calm        | was refused, though its key                | 0 to 0 |
      | owner-unheeded        | keys-calm        | of another tenant                          | 0 to 0 |
      | lease-ignored         | keys-leader-deaf | was refused, though its key                | 2 to 2 |
      | lease-ignored         | keys-leader-deaf | that was taken away before                 | 23 to 23 |

  Scenario: calls of a tenant, and those that are to be refused, are all seen by the checks
    When jobs under leases meet the fault scenario keys-calm once with seed 1
    Then calls with keys were answered 200, 401 and 403 by front daemons and by control daemons

Feature: Quota trials
  No tenant has more running than its maximum under any fault scenario; injected faults are found.

  Scenario Outline: the check of what runs <finds> when <what>
    Given a tenant that may have 200 cpu running, until 30 seconds 500
    When at a worker <history>
    Then the check of what runs <finds>

    Examples:
      | what                                  | finds                     | history                                                                   |
      | all of it is used                     | finds nothing             | A.0 starts 100 at 40, B.0 starts 100 at 41                                 |
      | one starts too many                   | finds B.0 at 300          | A.0 starts 200 at 40, B.0 starts 100 at 41                                 |
      | one has ended before                  | finds nothing             | A.0 starts 200 at 40, A.0 ends at 41, B.0 starts 100 at 42                 |
      | one was lost before                   | finds nothing             | A.0 starts 200 at 40, A.0 is gone at 41, B.0 starts 100 at 42              |
      | one ends only after                   | finds B.0 at 300          | A.0 starts 200 at 40, B.0 starts 100 at 42, A.0 ends at 43                 |
      | a second run starts beside the first  | finds A.0 at 300          | A.0 starts 150 at 40, A.0 starts 150 again at 41                           |
      | the older maximum may still hold      | finds nothing             | A.0 starts 300 at 20, B.0 starts 200 at 29                                 |
      | the older maximum holds no more       | finds B.0 at 500          | A.0 starts 300 at 20, B.0 starts 200 at 31                                 |
      | even the older maximum is passed      | finds B.0 at 600          | A.0 starts 300 at 20, B.0 starts 300 at 29                                 |
      | one alone is larger than the maximum  | finds nothing             | A.0 starts 900 at 40                                                      |
      | it starts beside one that is larger   | finds B.0 at 1000         | A.0 starts 900 at 40, B.0 starts 100 at 41                                 |
      | the others are another tenant's       | finds nothing             | A.0 starts 200 at 40, X.0 starts 900 at 41, N.0 starts 900 at 42           |

  Scenario Outline: <scenario> brings no tenant above its maximum
    When work of limited tenants meets the fault scenario <scenario> with seeds <seeds>
    Then no check of tenants finds a fault, and maxima were reached

    Examples:
      | scenario             | seeds  |
      | workers-unresponsive | 11 to 12 |
      | leader-killed        | 0 to 1 |
      | tenants-cut          | 0 to 0 |
      | answers-late         | 0 to 0 |

  Scenario Outline: the injected fault <injected> is found in what tenants have running
    Given the injected fault <injected>
    When work of limited tenants meets the fault scenario <scenario> with seeds <seeds>
    Then some check of tenants finds a start above a maximum

    Examples:
      | injected               | scenario             | seeds  |
      | maximum-unchecked      | calm                 | 0 to 1 |
      | twice-let-go           | workers-unresponsive | 2 to 3 |
      | cancelled-uncounted    | calm                 | 0 to 1 |
      | lowered-unheeded       | workers-unresponsive | 11 to 12 |
      | counts-lost-on-restart | leader-restarts      | 2 to 3 |

Feature: Shares of tenants
  Each tenant has its weight, which is its share once a service is full: what it sends beyond that runs in
  what the others leave over.

  Scenario: jobs conform while they come no sooner than the weight has them due, within a second
    When a tenant with weight 2 hands in jobs after 0, 0, 0, 0, 0.2, 0.5, 0.5, 3, 3, 3, 3 seconds
    Then the jobs beyond its weight are those numbered 4, 5, 7, 11

  Scenario: a new leader judges the jobs that are open as the one before it did
    When a tenant with weight 2 hands in jobs after 0, 0, 0, 0, 0.2, 0.5, 0.5, 3, 3, 3, 3 seconds
    Then a leader that learns them all at once from an image judges them alike

  Scenario: jobs without a tenant, or of one without a weight, all conform
    When tenants without a weight, and nobody, hand in 50 jobs at once
    Then none of them lies beyond a weight

  Scenario Outline: other tenants don't notice one that sends 20 times its usual in tasks of <length> seconds
    When 5 tenants send their usual to 4 workers for 40 seconds, by seeds 1 to 2
    And the same comes while one of them sends 20 times its usual for 20 of them, in tasks of <length> seconds
    Then the others earn no less than 0.97 of what they earned without it, and have as much served in time
    And the hot tenant's jobs that came after its burst earn no less than 0.97 of what they earned without it

    Examples:
      | length |
      | 2      |
      | 6      |

  Scenario: it is noticed when weights are unheeded
    When 5 tenants send their usual to 4 workers for 40 seconds, by seeds 1 to 2
    And the same comes while one of them sends 20 times its usual for 20 of them, in tasks of 2 seconds, with weights unheeded
    Then the others earn less than 0.97 of what they earned without it

  Scenario: work beyond a weight runs in idle capacity
    Given 4 workers of 8 accelerators for tenants "a" and "b" with weight 0.1
    When tenant "a" hands in 40 inspections of 1 tasks of 5 seconds, 1 accelerators each
    Then within 1 seconds all accelerators are used, and no invariant of placing is found broken

  Scenario: urgent work beyond a weight has no workers kept, and makes nothing yield
    Given 4 workers of 8 accelerators for tenants "a" and "b" with weight 0.1
    And tenant "a" hands in 1 inspections of 32 tasks of 30 seconds, 1 accelerators each
    When tenant "b" hands in 3 scans of 1 tasks of 20 seconds, 8 accelerators each
    Then after 5 seconds "b" uses 8 accelerators, and "a" 24
    And the peak of scans is 8 accelerators

  Scenario: work beyond a weight yields to work of its own urgency that lies within one
    Given 4 workers of 8 accelerators for tenants "a" and "b" with weight 0.1
    And tenant "a" hands in 40 inspections of 1 tasks of 30 seconds, 1 accelerators each
    When tenant "b" hands in 1 inspections of 4 tasks of 5 seconds, 1 accelerators each
    Then after 3 seconds "b" uses 4 accelerators, and "a" 28

Feature: Table
  A draft is measured against recent traffic before it may be approved.

  Background:
    Given a simulated fleet that has seen a day of crowded traffic

  Scenario: an unchanged table shows no difference
    When a draft that changes nothing is rehearsed
    Then its verdict is "no difference"
    And approving it is refused with "not_better" and leaves the version in force

  Scenario: a table known to be worse is found worse and can't be approved
    When a draft that starves the crowded queue is rehearsed
    Then its verdict is "worse"
    And approving it is refused with "not_better" and leaves the version in force

  Scenario: a better table is found better, approved, and in force everywhere
    When a draft that widens the crowded queue is rehearsed
    Then its verdict is "better"
    And approving it puts it in force at every front daemon within 2 seconds
    And the waits that follow are shorter, as forecast

  Scenario: two drafts on one base, one wins
    When two better drafts on one base are rehearsed and approved at once
    Then one is in force and the other is refused with "base_moved"

  Scenario: a draft whose base moved on must be made again
    When a draft is rehearsed and then another change is made
    Then approving it is refused with "base_moved" and leaves the version in force

  Scenario: no approval without a measurement
    When a draft that widens the crowded queue is made but not rehearsed
    Then approving it is refused with "not_measured" and leaves the version in force

  Scenario: the control daemon that rehearses dies, and the next in order measures
    When a better draft is rehearsed and whoever holds the rehearsal duty dies
    Then another control daemon measures it under a higher epoch

  Scenario: a result of a lower epoch is refused
    When a better draft is rehearsed and a result under an older epoch arrives
    Then the cluster state keeps the draft unmeasured by it

  Scenario: placing is not slowed by rehearsing
    When placing is timed in virtual time with and without a rehearsal under way
    Then the median start is no more than a tenth later

  Scenario: idle drafts are not called better, drafts with a known effect are found
    When 16 idle drafts and one of each known effect are rehearsed on made traffic
    Then no idle draft has another verdict than "no difference"
    And at most one known effect is missed, and none is found to be its opposite

Feature: History
  Every acknowledged change can be read at day's end, at a bounded cost.

  Scenario: a storm of changes is all there, through snapshots
    When 3000 random changes, whole and partial, are applied with a snapshot now and then
    Then every version reads as it was when it came into force

  Scenario: a large queue configuration changed often stays cheap
    When a queue configuration of 2000 queues is changed 1000 times by one cell
    Then the history takes less than 8 times the bytes of one queue configuration
    And only the changed queue is checked anew

  Scenario: a null that a patch can't say is kept whole
    When a queue configuration with a null in its notes comes into force
    Then every version reads as it was when it came into force

Feature: History
  Every acknowledged change can be read at day's end, at a bounded cost.

  Scenario: a storm of changes is all there, through snapshots
    When 3000 random changes, whole and partial, are applied with a snapshot now and then
    Then every version reads as it was when it came into force

  Scenario: a large setup changed often stays cheap
    When a setup of 2000 rows is changed 1000 times by one cell
    Then the history takes less than 8 times the bytes of one setup
    And only the changed row is checked anew

  Scenario: a null that a patch can't say is kept whole
    When a setup with a null in its notes comes into force
    Then every version reads as it was when it came into force

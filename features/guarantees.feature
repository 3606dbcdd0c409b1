Feature: Promises
  The table of docs/proof.md is whole: every weather, plant and check has its row.

  Scenario: every weather and every planted fault stands in a row
    Then no weather and no planted fault is missing from the registry

  Scenario: every planted fault is tried, with seeds that find it, in the trials
    Then features/pushed_job_trials.feature tries every planted fault and every weather

  Scenario: the page says what the registry says
    Then docs/proof.md is up to date

  Scenario: every check that is named exists
    Then each check named by a promise is found in the code

Feature: Guarantees
  The table of docs/proof.md is whole: every fault scenario, injected fault and check has its row.

  Scenario: every fault scenario and every injected fault stands in a row
    Then no fault scenario and no injected fault is missing from the registry

  Scenario: every injected fault is tried, with seeds that find it, in the trials
    Then features/pushed_job_trials.feature tries every injected fault and every fault scenario

  Scenario: the page says what the registry says
    Then docs/proof.md is up to date

  Scenario: every check that is named exists
    Then each check named by a guarantee is found in the code

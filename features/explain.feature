Feature: Explain
  The explaining tool says why each task went where it went, or why it waits.

  Scenario: a finished job tells each attempt, where, by whom, how, and on whose credits
    Given a simulated fleet with a job that failed once and then finished
    Then explain names both attempts with worker, front daemon, how, epoch, queue configuration version and lenders
    And it says the same once the job is archived

  Scenario: a parked job tells why, and every worker with what rules it out
    Given a simulated fleet with an impossible job
    Then explain says what no worker has, and lists each worker as lacking it

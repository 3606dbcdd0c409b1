Feature: Jobs Api
  Operators read at every front daemon what jobs under leases wait for, what runs where, which workers
  there are and what is in force; the command line shows the same.

  Scenario: before any configuration there is none to read, then every front daemon tells the same
    Given a simulated fleet without workers
    Then the configuration is answered with 503 and "unconfigured"
    When routes and services come into force
    Then every front daemon answers the configuration as it was sent

  Scenario: a job is explained from its acceptance to its end
    Given a simulated fleet with three workers and routes in force
    When a job of two steps is handed in
    Then it is queued, its first step has no worker that is open, and its second waits for the first
    When the workers heartbeat until all of its first step runs
    Then each placement names its run, worker, epoch and progress, as the workers have it
    When the first step ends, one task of it after a failure
    Then the first step shows the failure and is done, and the second runs
    When the second step ends
    Then the job shows completed with nothing placed

  Scenario Outline: a job that waits says how many workers are ruled out because of <cause>
    Given a simulated fleet with three workers and routes in force
    When the workers are ruled out by <cause> and a job waits
    Then its candidates are <count> workers under <why>

    Examples:
      | cause              | count | why                           |
      | a missing label    | 3     | lacks unheard-of              |
      | too wide a task    | 3     | no room                       |
      | an evacuated zone  | 1     | its zone is evacuated         |
      | a drain            | 1     | draining                      |
      | silence            | 1     | silent                        |
      | a run of nobody    | 1     | runs what is not placed there |
      | a limit of a step  | 3     | has 1 of the step, apart 1    |

  Scenario: a job of very many times is told up to a page
    Given a simulated fleet with three workers and routes in force
    When a job of more times than a page is handed in
    Then it is told up to a page, what is not done first, and how much is left out

  Scenario: what still runs of a cancelled job is told until its end is proven
    Given a simulated fleet with three workers and routes in force
    When a job runs and is cancelled
    Then it shows cancelled and what still runs of it, and nothing once the workers have told the ends

  Scenario: a job that never was, is not known
    Given a simulated fleet with three workers and routes in force
    Then every front daemon answers a job that never was with 404 and "unknown_job"

  Scenario: workers and evacuations are listed as they are
    Given a simulated fleet with three workers and routes in force
    Then the workers are listed with service, zone, capacity and what is placed there
    And an evacuation is listed until it is taken back

  Scenario: metrics of jobs agree with the cluster state
    Given a simulated fleet with three workers and routes in force
    When a job runs and is cancelled
    Then the leader's metrics of jobs, runs, workers and the configuration agree with its cluster state

  Scenario: the command line shows what the API answers
    Given a simulated fleet with three workers and routes in force
    When a job runs whose name looks like a number
    Then "pinepitch job show" and "pinepitch explain" name its placements, and "workers" and "configuration show" what there is
    And a job that never was ends the command with 1

  Scenario: operators read what tenants may have and have running, and never a key
    Given a simulated fleet with three workers, and tenants "osu/east" with 2 cores and "007" in force
    When "osu/east" hands in a job of 3 tasks of a core, and the workers heartbeat until 2 of them run
    Then the job tells its tenant, and that it waits for the tenant's maximum of 2000, all of which is used
    And "pinepitch tenant list" tells both tenants, the first at its maximum with 1 job open and waiting
    And "pinepitch tenant show" tells a fingerprint of each of its keys, and none of these commands a key
    And "pinepitch configuration show" tells the same fingerprints and no key, the platform the keys
    And a tenant that never was ends the command with 1
    And the leader's metrics tell one tenant at its maximum, which uses all its cores

  Scenario: metrics tell the 20 tenants that use most of their maxima, and no more
    Given a control daemon with 30 tenants of which each uses one hundredth more than the one before
    Then its metrics tell those numbered 10 to 29

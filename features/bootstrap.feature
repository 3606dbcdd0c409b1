Feature: Bootstrap
  Empty machines bootstrap a cluster only if nobody in reach knows one, and an empty one never bootstraps alone.

  Scenario: emptied control daemons beside front daemons that remember a cluster bootstrap no second one
    Given a simulated fleet that serves
    When all its control daemons come back empty while its front daemons run on
    Then no cluster is bootstrapped in 20 seconds, and the control daemons say what holds them back

  Scenario: once nobody remembers, the same machines bootstrap anew
    Given a simulated fleet that serves
    When all its control daemons come back empty and all its front daemons start anew
    Then a cluster with another name is bootstrapped within 10 seconds

  Scenario: one empty control daemon beside survivors joins and never bootstraps
    Given a simulated fleet that serves
    When one control daemon comes back empty while cut off from all others
    Then it bootstraps nothing in 10 seconds, and joins the old cluster once it is back

  Scenario: a front daemon that can't learn news says that it is stale
    Given a simulated fleet that serves
    When a front daemon is cut off from every control daemon for 4 seconds
    Then its health says stale, the others' doesn't, and not after it is back

  # Guards against: a seed that is killed before the founding and started again leaves the system without a cluster.
  Scenario Outline: seeds that are <ended> <seconds> s after the first start, and started again, found the cluster
    Given the programs of three seeds and a front daemon, started for the first time
    When <seeds> of the seeds are <ended> <seconds> s after the start, and started again 1 s later
    Then a configuration is taken within 20 seconds

    Examples:
      | seeds | ended      | seconds |
      | 1     | killed     | 0.3     |
      | 1     | killed     | 1.0     |
      | 1     | terminated | 1.6     |
      | 3     | killed     | 1.2     |

  Scenario: a seed whose disk is lost before the founding founds nothing, and says so
    Given the programs of three seeds and a front daemon, started for the first time
    When a seed is killed 0.8 s after the start, and started again with an empty disk
    Then no configuration is taken within 8 seconds, and that seed says that it may not found a cluster

  Scenario: under kills, restarts, cuts and lost disks at any step of the founding one cluster is founded at most
    When 60 simulated foundings meet kills, restarts, cuts and some lost disks in their first 10 seconds
    Then no two clusters were founded in any of them
    And each of them without a lost disk has a leader, and some of those with one

  Scenario: it is found when emptied seeds may found a cluster and nobody remembers the earlier one
    When foundings with seeds 39 to 42 meet lost disks, emptied seeds may found, and no daemon remembers a cluster
    Then two clusters were founded, or one has two leaders in one term, in one of them

  Scenario Outline: the mark of the first start is <kept> by a folder <that>
    Given a data folder <that>
    When a program records the first start there
    Then the folder has <mark>

    Examples:
      | kept      | that                        | mark    |
      | kept      | that is empty               | a mark  |
      | not given | that holds a damaged store  | no mark |

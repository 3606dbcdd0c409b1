Feature: Applying
  Every committed entry that admission lets through is applied by every replica, whatever amounts it names; and what
  can't be applied ends the replica with one line that tells the operator what to do.

  # Guards against: a job whose tasks ask for nothing ends every control daemon, again after each restart (LOST).
  Scenario Outline: the ends of tasks of a tenant that ask for nothing are applied: <tasks>, <read>
    Given a leased job state in which tenant acme may run "<maximum>"
    When the leased job state takes job A of tenant acme with steps "<steps>"
    And the leased job state places "<tasks>" of A on one
    And <read>
    And the leased job state hears that run 1 of "<tasks>" of A ended done
    Then the leased job state shows A as <state>
    And no tenant uses anything

    Examples:
      | steps                                 | tasks             | maximum | state     | read                                          |
      | 2 cpu=0                               | 0.0.0 0.0.1       | cpu=0   | completed | 1 seconds have passed on the leased job state |
      | 2 cpu=0                               | 0.0.0 0.0.1       | cpu=100 | completed | 1 seconds have passed on the leased job state |
      | 2 cpu=0                               | 0.0.0 0.0.1       | cpu=100 | completed | the leased job state is read from its image   |
      | 1 cpu=0                               | 0.0.0             | gpu=1   | completed | the leased job state is read from its image   |
      | 1 cpu=100; 1 cpu=0                    | 0.0.0 0.1.0       | cpu=100 | completed | 1 seconds have passed on the leased job state |
      | 1 cpu=0; 1 cpu=100; 1 cpu=0           | 0.1.0 0.0.0 0.2.0 | cpu=100 | completed | 1 seconds have passed on the leased job state |
      | 3 cpu=0 gang                          | 0.0.0 0.0.1 0.0.2 | cpu=100 | completed | 1 seconds have passed on the leased job state |
      | 2 cpu=0 mem_mb=9007199254740992       | 0.0.0 0.0.1       | cpu=100 | completed | the leased job state is read from its image   |

  # Guards against: an order for a zone ends the replicas once members that don't limit zones have evacuated many.
  Scenario: orders for more zones than may be evacuated are applied, though a member of level 2 proposed them first
    Given a cluster state whose leased job state holds a job, and a placing epoch followed by another
    When orders of level 2 evacuate one zone more than twice as many as may be evacuated
    And orders of level 3 begin the evacuation of the same zones
    Then every zone is evacuated, also in a replica rebuilt from an image
    When orders of level 3 finish the evacuation of the same zones
    Then no zone is evacuated, and the orders that are remembered are twice as many as may be evacuated

  # Guards against: units stay reserved for ever, or giving them back ends the replicas, if an entry names a task twice.
  Scenario: an entry that places a member of a gang of pushed tasks twice places none of the gang
    Given a cluster state with a pushed job of a gang of two
    When an entry places the first member on two workers and the second on one
    Then it is refused as "gang not whole", and nothing is reserved
    When an entry places each member once, and both end
    Then nothing is reserved, and the audit finds nothing

  # Guards against: an operator can't tell which entry ends the daemons and what to do; an entry skipped in silence.
  Scenario: a control daemon that fails to apply a committed entry ends with one line that says so, each time
    Given a copy of the folder of a daemon that could not apply a committed entry
    When a control daemon that fails to apply ends of runs is started on it 2 times
    Then each ends with status 70 and one critical event 109, which names the entry, its index, the fault and the advice
    When this version's daemon starts on it
    Then the jobs and the configuration that were acknowledged are there, and the entry is applied

  # Guards against: any entry that admission lets through ends the replicas that apply it, or makes them differ.
  Scenario Outline: replicas apply drawn histories of every kind of entry at the limits of amounts alike, seed <seed>
    When <count> histories of <entries> entries are drawn with seed <seed>, with the limits of lists lowered
    Then no entry and no scheduling round raised an error, and no replica differed from the others
    And every kind of entry was applied, rounds placed tasks, and lists came to their limits

    Examples:
      | seed | count | entries |
      | 1    | 12    | 150     |
      | 2    | 12    | 150     |
      | 3    | 4     | 400     |

  Scenario Outline: histories that once ended replicas or made them differ don't any more, seed <seed>
    When 4 histories of 200 entries are drawn with seed <seed>, with the limits of lists lowered
    Then no entry and no scheduling round raised an error, and no replica differed from the others

    Examples:
      | seed | found                                         |
      | 119  | an order for a zone when all are evacuated    |
      | 325  | a member of a gang that is placed twice       |

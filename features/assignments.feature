Feature: Assignments
  A task starts only where and when nothing else can be running it, and no end is forgotten or counted twice.

  Background:
    Given a control daemon that leads alone, with routes in force and leases of 4 seconds

  Scenario: a start is told only in the answer to a heartbeat
    When worker one heartbeats
    And a job of 1 task is handed in
    And 2 seconds pass without a heartbeat
    Then nothing was sent to any worker meanwhile
    When worker one heartbeats until it is told a start
    Then it is told to start run 1 with the job's text, under a lease and a fence

  Scenario: without its lease the leader takes no heartbeats and tells no starts
    When worker one heartbeats
    And a job of 1 task is handed in
    And the leader's lease runs out
    And worker one heartbeats
    Then the heartbeat was not taken
    When the lease stands again
    And worker one heartbeats until it is told a start
    Then it is told to start run 1 with the job's text, under a lease and a fence

  Scenario: a heartbeat that was taken before the lease ran out is not answered while it is out
    Given worker one runs run 1 of a job of 1 task
    When run 1 ends failed at worker one with "halfway" saved
    And the disk does not save
    And worker one sends a heartbeat
    And the leader's lease runs out
    And the disk saves again
    And 0.3 seconds pass without a heartbeat
    Then the heartbeat has no answer with a lease
    When the lease stands again
    And worker one heartbeats until it is told a start
    Then it is told to start run 2 of the task from "halfway"

  Scenario: a placement is told only once it is agreed on
    When worker one heartbeats
    And the disk does not save
    And a job of 1 task is handed in
    And worker one heartbeats
    Then it is told no start
    When the disk saves again
    And worker one heartbeats until it is told a start
    Then it is told to start run 1 with the job's text, under a lease and a fence

  Scenario: a run that is listed is not told again
    Given worker one runs run 1 of a job of 1 task
    When worker one heartbeats 5 times
    Then it is told no start and no stop

  Scenario: a run that a fresh heartbeat does not list is told again under the same number
    When worker one heartbeats
    And a job of 1 task is handed in
    And worker one heartbeats until it is told a start
    And worker one does not get that answer
    And worker one heartbeats
    Then it is told to start run 1 with the job's text, under a lease and a fence
    When worker one begins what it was told
    And worker one heartbeats 3 times
    Then it is told no start and no stop

  Scenario: an end is seen only once it is agreed on, and then counts once
    Given worker one runs run 1 of a job of 1 task
    When run 1 ends done at worker one
    And the disk does not save
    And worker one heartbeats 2 times
    Then it is told that its ends up to 0 are seen, and no start
    And the job is shown as running
    When the disk saves again
    And worker one heartbeats 2 times
    Then it is told that its ends up to 1 are seen, and no start
    And the job is shown as completed

  Scenario: an end that failed is seen, and its task starts again with what was saved
    Given worker one runs run 1 of a job of 1 task
    When run 1 ends failed at worker one with "halfway" saved
    And worker one heartbeats until it is told a start
    Then it is told to start run 2 of the task from "halfway"
    And it is told that its ends up to 1 are seen

  Scenario Outline: <what> is stopped
    Given worker one runs run 1 of a job of 1 task
    When worker one also runs <what>
    And worker one heartbeats 2 times
    Then it is told to stop <what> and nothing else

    Examples:
      | what                           |
      | a task of no known job         |
      | a run of another number        |
      | a task that is another's       |
      | a run with a name that is none |

  Scenario: what runs of a cancelled job is stopped, and its end is seen
    Given worker one runs run 1 of a job of 1 task
    When the job is cancelled
    And worker one heartbeats
    Then it is told to stop run 1
    When run 1 ends stopped at worker one
    And worker one heartbeats 2 times
    Then it is told that its ends up to 1 are seen, and no start
    And the job is shown as cancelled

  Scenario Outline: a worker <closed> gets no start, not even of what was placed there before
    Given worker two has no capacity
    When worker one heartbeats 2 times
    And a job of 1 task is handed in
    And 0.3 seconds pass without a heartbeat
    And worker one is <closed>
    And worker one heartbeats 5 times
    Then worker one was told no start at all
    When worker two has capacity
    And worker two heartbeats until it is told a start
    Then worker one was told no start at all
    And it is told to start a run above 1

    Examples:
      | closed            |
      | draining          |
      | in an emptied zone |

  Scenario: a worker that was evacuated gets work again once that is taken back
    When worker one heartbeats
    And worker one is in an emptied zone
    And a job of 1 task is handed in
    And worker one heartbeats 5 times
    Then worker one was told no start at all
    When the evacuation is taken back
    And worker one heartbeats until it is told a start
    Then it is told to start run 1 with the job's text, under a lease and a fence

  Scenario: a new identity at an address proves nothing of what the old one runs: its lease is waited out
    Given worker one runs run 1 of a job of 1 task
    When worker two heartbeats from the address of worker one until it is told a start
    Then worker two is told no start before the lease and its margins are over
    And it is told to start run 2 of the task from "s1"

  Scenario: a late heartbeat of the old identity does not end what the new one at its address runs
    Given worker one runs run 1 of a job of 1 task
    And a heartbeat of worker one is on its way
    When worker two heartbeats from the address of worker one until it is told a start
    And worker two begins what it was told
    And worker two heartbeats
    And the heartbeat of worker one arrives
    And worker two heartbeats 5 times
    Then it is told no start and no stop
    And run 2 is the only one placed

  Scenario: what a silent worker ran is started elsewhere only once its lease has run out by any clock
    Given worker one runs run 1 of a job of 1 task
    When only worker two heartbeats
    Then worker two is told no start before the lease and its margins are over
    And worker two is told to start run 2 soon after

  Scenario: each answered heartbeat renews the lease
    Given worker one runs run 1 of a job of 1 task
    When worker one heartbeats 100 times
    And only worker two heartbeats
    Then worker two is told no start before the lease and its margins are over
    And worker two is told to start run 2 soon after

  Scenario: a leader that begins anew waits out the leases that it does not know
    Given worker one runs run 1 of a job of 1 task
    When the control daemon starts again from its disk
    And only worker two heartbeats
    Then worker two is told no start before the lease and its margins are over
    And worker two is told to start run 2 soon after

  Scenario: a leader that begins anew leaves alone what runs
    Given worker one runs run 1 of a job of 1 task
    When the control daemon starts again from its disk
    And worker one heartbeats 30 times
    Then it is told no start and no stop
    And run 1 is the only one placed

  Scenario: an end that comes after its lease has run out still counts, once
    Given worker one runs run 1 of a job of 1 task
    When only worker two heartbeats until it is told a start
    And worker two begins what it was told
    And run 1 ends done at worker one
    And worker one heartbeats 2 times
    Then it is told that its ends up to 1 are seen, and no start
    And the job is shown as completed
    When worker two heartbeats 2 times
    Then it is told to stop run 2

  Scenario: an end that comes while its run's lapse is being agreed on is not lost
    Given worker one runs run 1 of a job of 1 task
    When its lease runs out while the disk does not save
    And run 1 ends done at worker one
    And worker one heartbeats
    Then either no end is seen or the job is shown as completed
    When the disk saves again
    And worker one heartbeats until its end is seen
    Then the job is shown as completed

  Scenario Outline: a heartbeat <how> changes nothing
    Given worker one runs run 1 of a job of 1 task
    And a heartbeat of worker one that lists nothing is on its way
    When worker one heartbeats 2 times
    And the heartbeat arrives <how>
    Then it is answered without a lease, a start or a stop
    And run 1 is the only one placed
    When worker one heartbeats 3 times
    Then it is told no start and no stop

    Examples:
      | how                         |
      | after newer ones            |
      | with an end that is no more |

  Scenario: a heartbeat that is late by its clock gets no start and proves nothing
    When worker one heartbeats 5 times
    And a job of 1 task is handed in
    And 0.3 seconds pass without a heartbeat
    And worker one heartbeats, which takes 1.5 seconds to arrive
    Then it is told no start
    And run 1 is the only one placed
    When worker one heartbeats until it is told a start
    Then it is told to start run 1 with the job's text, under a lease and a fence

  Scenario: the members of a gang start from one text, whatever is heard between their starts
    Given workers one, two, three and four have capacity for one task each
    And workers one and two run a gang, and fall silent until it is placed at three and four
    When worker three is told its start
    And worker one tells how its run of the gang ended, with "further" saved
    And worker four is told its start
    Then both were told the same run and the same text

  Scenario Outline: an end of <what> is seen and changes nothing
    Given worker one runs run 1 of a job of 1 task
    When worker one tells an end of <what>
    And worker one heartbeats 2 times
    Then it is told that its ends up to 1 are seen, and no start
    And run 1 is the only one placed
    And the job is shown as running

    Examples:
      | what                             |
      | a task of no known job           |
      | a run of another number          |
      | a task that the job has not      |
      | a step that the job has not      |
      | a run with a name that is none   |
      | a run with a name of odd digits  |

  Scenario: a worker that has drained and says it ends has what it ran started elsewhere, after a margin
    Given worker one runs run 1 of a job of 1 task
    When worker one heartbeats in a state of draining, and says that it ends
    And only worker two heartbeats until it is told a start
    Then it is told to start run 2 of the task from "s1"

  Scenario Outline: a worker that leaves without having drained keeps what it runs <until>
    Given worker one runs run 1 of a job of 1 task
    When worker one says that it leaves, <times>, and <goes on>
    Then nobody is told a start of the task within 3 seconds
    When 5 seconds more have passed in which only worker two heartbeats
    Then run 2 of the task was told to worker two

    Examples:
      | times | goes on                        | until             |
      | once  | is heard no more               | its lease is over |
      | twice | is heard no more               | its lease is over |
      | once  | heartbeats on for 3 seconds    | its lease is over |

  Scenario: a worker that leaves without having drained gets no more work
    Given worker one runs run 1 of a job of 1 task
    When worker one says that it leaves, and another job of 1 task comes
    Then worker one is told no start by its next heartbeats, though it says that it is ready

  Scenario: a heartbeat that can't be read is refused
    When worker one sends a heartbeat without a zone
    Then the heartbeat is answered with 400

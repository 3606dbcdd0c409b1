Feature: Keeper
  A task starts only where and when nothing else can be running it, and no end is forgotten or counted twice.

  Background:
    Given an accord that leads alone, with routes in force and holds of 4 seconds

  Scenario: a start is told only in the answer to a beat
    When minion one beats
    And a job of 1 task is handed in
    And 2 seconds pass without a beat
    Then nothing was sent to any minion meanwhile
    When minion one beats until it is told a start
    Then it is told to start run 1 with the job's text, under a hold and a fence

  Scenario: without its lease the leader takes no beats and tells no starts
    When minion one beats
    And a job of 1 task is handed in
    And the leader's lease runs out
    And minion one beats
    Then the beat was not taken
    When the lease stands again
    And minion one beats until it is told a start
    Then it is told to start run 1 with the job's text, under a hold and a fence

  Scenario: a beat that was taken before the lease ran out is not answered while it is out
    Given minion one runs run 1 of a job of 1 task
    When run 1 ends failed at minion one with "halfway" saved
    And the disk does not save
    And minion one sends a beat
    And the leader's lease runs out
    And the disk saves again
    And 0.3 seconds pass without a beat
    Then the beat has no answer with a hold
    When the lease stands again
    And minion one beats until it is told a start
    Then it is told to start run 2 of the task from "halfway"

  Scenario: a placement is told only once it is agreed on
    When minion one beats
    And the disk does not save
    And a job of 1 task is handed in
    And minion one beats
    Then it is told no start
    When the disk saves again
    And minion one beats until it is told a start
    Then it is told to start run 1 with the job's text, under a hold and a fence

  Scenario: a run that is listed is not told again
    Given minion one runs run 1 of a job of 1 task
    When minion one beats 5 times
    Then it is told no start and no stop

  Scenario: a run that a fresh beat does not list is told again under the same number
    When minion one beats
    And a job of 1 task is handed in
    And minion one beats until it is told a start
    And minion one does not get that answer
    And minion one beats
    Then it is told to start run 1 with the job's text, under a hold and a fence
    When minion one begins what it was told
    And minion one beats 3 times
    Then it is told no start and no stop

  Scenario: an end is seen only once it is agreed on, and then counts once
    Given minion one runs run 1 of a job of 1 task
    When run 1 ends done at minion one
    And the disk does not save
    And minion one beats 2 times
    Then it is told that its ends up to 0 are seen, and no start
    And the job is shown as running
    When the disk saves again
    And minion one beats 2 times
    Then it is told that its ends up to 1 are seen, and no start
    And the job is shown as completed

  Scenario: an end that failed is seen, and its task starts again with what was saved
    Given minion one runs run 1 of a job of 1 task
    When run 1 ends failed at minion one with "halfway" saved
    And minion one beats until it is told a start
    Then it is told to start run 2 of the task from "halfway"
    And it is told that its ends up to 1 are seen

  Scenario Outline: <what> is stopped
    Given minion one runs run 1 of a job of 1 task
    When minion one also runs <what>
    And minion one beats 2 times
    Then it is told to stop <what> and nothing else

    Examples:
      | what                           |
      | a task of no known job         |
      | a run of another number        |
      | a task that is another's       |
      | a run with a name that is none |

  Scenario: what runs of a cancelled job is stopped, and its end is seen
    Given minion one runs run 1 of a job of 1 task
    When the job is cancelled
    And minion one beats
    Then it is told to stop run 1
    When run 1 ends stopped at minion one
    And minion one beats 2 times
    Then it is told that its ends up to 1 are seen, and no start
    And the job is shown as cancelled

  Scenario Outline: a minion <closed> gets no start, not even of what was placed there before
    Given minion two has no room
    When minion one beats 2 times
    And a job of 1 task is handed in
    And 0.3 seconds pass without a beat
    And minion one is <closed>
    And minion one beats 5 times
    Then minion one was told no start at all
    When minion two has room
    And minion two beats until it is told a start
    Then minion one was told no start at all
    And it is told to start a run above 1

    Examples:
      | closed            |
      | draining          |
      | in an emptied zone |

  Scenario: a minion that was evacuated gets work again once that is taken back
    When minion one beats
    And minion one is in an emptied zone
    And a job of 1 task is handed in
    And minion one beats 5 times
    Then minion one was told no start at all
    When the evacuation is taken back
    And minion one beats until it is told a start
    Then it is told to start run 1 with the job's text, under a hold and a fence

  Scenario: a new identity at an address proves nothing of what the old one runs: its hold is waited out
    Given minion one runs run 1 of a job of 1 task
    When minion two beats from the address of minion one until it is told a start
    Then minion two is told no start before the hold and its margins are over
    And it is told to start run 2 of the task from "s1"

  Scenario: a late beat of the old identity does not end what the new one at its address runs
    Given minion one runs run 1 of a job of 1 task
    And a beat of minion one is on its way
    When minion two beats from the address of minion one until it is told a start
    And minion two begins what it was told
    And minion two beats
    And the beat of minion one arrives
    And minion two beats 5 times
    Then it is told no start and no stop
    And run 2 is the only one placed

  Scenario: what a silent minion ran is started elsewhere only once its hold has run out by any clock
    Given minion one runs run 1 of a job of 1 task
    When only minion two beats
    Then minion two is told no start before the hold and its margins are over
    And minion two is told to start run 2 soon after

  Scenario: each answered beat renews the hold
    Given minion one runs run 1 of a job of 1 task
    When minion one beats 100 times
    And only minion two beats
    Then minion two is told no start before the hold and its margins are over
    And minion two is told to start run 2 soon after

  Scenario: a leader that begins anew waits out the holds that it does not know
    Given minion one runs run 1 of a job of 1 task
    When the accord starts again from its disk
    And only minion two beats
    Then minion two is told no start before the hold and its margins are over
    And minion two is told to start run 2 soon after

  Scenario: a leader that begins anew leaves alone what runs
    Given minion one runs run 1 of a job of 1 task
    When the accord starts again from its disk
    And minion one beats 30 times
    Then it is told no start and no stop
    And run 1 is the only one placed

  Scenario: an end that comes after its hold has run out still counts, once
    Given minion one runs run 1 of a job of 1 task
    When only minion two beats until it is told a start
    And minion two begins what it was told
    And run 1 ends done at minion one
    And minion one beats 2 times
    Then it is told that its ends up to 1 are seen, and no start
    And the job is shown as completed
    When minion two beats 2 times
    Then it is told to stop run 2

  Scenario: an end that comes while its run's lapse is being agreed on is not lost
    Given minion one runs run 1 of a job of 1 task
    When its hold runs out while the disk does not save
    And run 1 ends done at minion one
    And minion one beats
    Then either no end is seen or the job is shown as completed
    When the disk saves again
    And minion one beats until its end is seen
    Then the job is shown as completed

  Scenario Outline: a beat <how> changes nothing
    Given minion one runs run 1 of a job of 1 task
    And a beat of minion one that lists nothing is on its way
    When minion one beats 2 times
    And the beat arrives <how>
    Then it is answered without a hold, a start or a stop
    And run 1 is the only one placed
    When minion one beats 3 times
    Then it is told no start and no stop

    Examples:
      | how                         |
      | after newer ones            |
      | with an end that is no more |

  Scenario: a beat that is late by its clock gets no start and proves nothing
    When minion one beats 5 times
    And a job of 1 task is handed in
    And 0.3 seconds pass without a beat
    And minion one beats, which takes 1.5 seconds to arrive
    Then it is told no start
    And run 1 is the only one placed
    When minion one beats until it is told a start
    Then it is told to start run 1 with the job's text, under a hold and a fence

  Scenario: the members of a gang start from one text, whatever is heard between their starts
    Given minions one, two, three and four have room for one task each
    And minions one and two run a gang, and fall silent until it is placed at three and four
    When minion three is told its start
    And minion one tells how its run of the gang ended, with "further" saved
    And minion four is told its start
    Then both were told the same run and the same text

  Scenario Outline: an end of <what> is seen and changes nothing
    Given minion one runs run 1 of a job of 1 task
    When minion one tells an end of <what>
    And minion one beats 2 times
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

  Scenario: a minion that says it ends has what it ran started elsewhere, after a margin
    Given minion one runs run 1 of a job of 1 task
    When minion one says that it ends
    And only minion two beats until it is told a start
    Then it is told to start run 2 of the task from "s1"

  Scenario: a beat that can't be read is refused
    When minion one sends a beat without a zone
    Then the beat is answered with 400

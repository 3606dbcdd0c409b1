Feature: Placing
  Waiting work that can't start hides nothing; dues, wide work and gangs get their turn.

  Scenario: early work hides nothing that stands behind it
    Given 30 workers with capacity 8
    And a night's 1000 plans that may start only in an hour
    When a job comes that may start now
    Then it is started in the first round

  Scenario: impossible work hides nothing that stands behind it
    Given 30 workers with capacity 8
    And 1000 jobs for a label that no worker has, each of another shape
    When a job comes that may start now
    Then it is started in the first round

  Scenario: early work starts when its time comes
    Given 30 workers with capacity 8
    And a night's 50 plans that may start only in an hour
    When an hour has passed
    Then all 50 have started, none of them early

  Scenario: a round costs by what is new, not by what waits
    Given 30 workers with capacity 8, all of it taken
    When 2000 and then 20000 tasks of 4 shapes wait
    Then a round looks at no more units at 20000 than at 2000

  Scenario: among equal urgency the earlier due goes first
    Given 1 workers with capacity 1
    When three jobs come with dues in 50, 20 and 30 seconds and one without
    Then they start in the order of their dues, the one without last

  Scenario: a stream of dues does not starve work that names none
    Given 1 workers with capacity 1
    When a job without due meets a stream with dues that fills the capacity for 2 hours
    Then it waits no longer than 3700 seconds

  Scenario: a shop's day with a closing gate
    Given a small Pinturas
    When counter matches come all day and lab and planner work is due at the gate
    Then every due is met, and the median counter match waits less than half a second

  Scenario Outline: <what> gets its capacity under a stream of small work
    Given 6 workers with capacity 8
    When small work of one queue keeps 95 percent of the capacity busy for 120 seconds and <what> comes
    Then it starts within <bound> seconds

    Examples:
      | what                                 | bound |
      | a task as wide as a minion           | 15    |
      | a wide task of the same queue        | 15    |
      | a gang of 3 tasks that fill a minion | 25    |

  Scenario: an urgent gang of a queue that preempts gets capacity soon, without making others yield
    Given 6 workers with capacity 8
    When small work of one queue keeps 95 percent of the capacity busy for 60 seconds and an urgent gang comes
    Then it starts within 6 seconds

  Scenario: a member of a gang that its worker refused does not wait alone
    Given 3 workers with capacity 8
    When a gang of 3 starts and one worker refuses its member
    Then the other two are stopped and all three start again together

  Scenario: credits are conserved and limits kept, whatever the table
    When 40 random tables meet random work, changes and ends
    Then at every step credits add up and no limit is passed by a new placement

  Scenario: lent credits come back to a queue that wakes
    Given 4 workers with capacity 8
    When a queue has lent all it has and then wakes
    Then it has its share back once what it lent for has ended

  Scenario: a feed never borrows what it could not give back
    Given 4 workers with capacity 8
    When feeds of a queue without share meet idle lenders
    Then none starts, and the reason is "no credits"

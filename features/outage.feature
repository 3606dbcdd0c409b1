Feature: Outage
  When every control daemon was killed at once, the way back from the last start is short and safe.

  Scenario: a leader is there soon after the last start, and answers soon after that
    When every control daemon is killed and started again, with seeds 10 to 15
    Then half of them have a leader within 1.2 of a lease, and all within 1.4
    And all take a job within 0.25 s of it, and start a task within 0.5 s of it

  Scenario: a voter that refused while it waited for a lease to end is asked again
    Given two control daemons with a log that start anew, the second 0.3 s after the first
    When the first asks for votes once it may
    Then it leads within 0.3 s of the end of the second's wait

  Scenario: a vote that was lost is asked for again
    Given two control daemons with a log that start anew, the second 0.3 s after the first
    When the first asks for votes once it may, and its first vote request is lost
    Then it leads within 0.3 s of the end of the second's wait

  Scenario: a candidate that can't win any more begins anew soon
    Given a candidate whose voters chose another
    Then it asks for pre-votes within 0.25 s, under the term it has

  Scenario: the wait for a lease counts from the begin of the process, and is never shorter
    Given a control daemon with a log whose process began 0.25 s before its first tick
    Then it gives no vote before a lease from the begin of the process is over
    And it gives one 0.02 s later

  Scenario: a data folder is one process's at a time
    Given a data folder that a process owns
    Then a control daemon on it ends at once and says so
    And the folder can be owned again once that process has let go

  Scenario: in a long outage callers are told soon that nobody took their call
    When every control daemon is killed and started again after 5 s, with seeds 0 to 1
    Then no try is held longer than 2.3 s, and on average none over 0.5 s
    And nine in ten are told that the call was not taken
    And all take a job within 0.25 s of it, and start a task within 0.5 s of it

  Scenario Outline: a front daemon without news from a leader for <silent> s gives a call up after <held> s
    Given a front daemon that last heard its leader <silent> s ago
    When a call of 2 s comes that <way>
    Then it is answered <status> after <held> s

    Examples:
      | silent | way                  | status | held |
      | 0.1    | nobody takes         | 503    | 2    |
      | 1.7    | nobody takes         | 503    | 0.5  |
      | 3      | nobody takes         | 503    | 0.2  |
      | 3      | reaches nobody       | 503    | 0.2  |
      | 3      | is sent and unheard  | 504    | 1.1  |

  Scenario: a call is not queued for a peer that could not be reached
    Given a link to a port where nobody listens
    When two calls are put into it, one after the other
    Then both calls are told as undelivered, the second at once
    When a peer listens there and two calls more are put into it
    Then the second of them arrives, and nothing that was told as undelivered

Feature: Arrivals of heartbeats
  The daemon at whose port a heartbeat arrives says that it is late if it knows so, whoever leads by then.

  Background:
    Given a control daemon at whose port a worker's heartbeats arrive

  Scenario: heartbeats in order and in time are forwarded as they are
    When heartbeat 1 that was sent at 10.0 seconds arrives at 10.1
    And heartbeat 2 that was sent at 10.5 seconds arrives at 10.7
    Then no heartbeat was marked as late

  Scenario Outline: <what> is marked as late
    When heartbeat 5 that was sent at 10.0 seconds arrives at 10.1
    And heartbeat <number> that was sent at <sent> seconds arrives at <arrived>
    Then heartbeat <number> was marked as late

    Examples:
      | what                                             | number | sent | arrived |
      | a heartbeat older than one that arrived before   | 4      | 9.5  | 10.2    |
      | a heartbeat that arrives a second time           | 5      | 10.0 | 10.2    |
      | a newer heartbeat that took much longer to arrive | 6      | 10.5 | 11.7    |

  Scenario: what is not valid is left to the leader
    When a heartbeat without a sequence arrives
    Then no heartbeat was marked as late

  Scenario: only the workers heard last are remembered
    When heartbeats of 4200 other workers arrive
    Then 4000 workers are remembered

  Scenario: a worker is sent an address for its heartbeats once in 10 seconds
    When heartbeat 1 that was sent at 10.0 seconds arrives at 10.1
    Then at 10.1 seconds its worker may be sent an address
    And at 20.0 seconds its worker may not be sent an address
    And at 20.2 seconds its worker may be sent an address

  # guards against callers that fill a daemon's memory with names
  Scenario: a worker with a name of 10000 characters is not remembered
    When a heartbeat of a worker with a name of 10000 characters arrives
    Then 0 workers are remembered

  Scenario: a heartbeat that is known to be late proves nothing to a new leader
    When a leader first hears heartbeat 1, marked as late, and then heartbeat 2, marked as late
    Then the worker counts as heard 0 times, and its newest heartbeat as late
    When the leader hears heartbeat 3, which is not marked
    Then the worker counts as heard 1 time, and its newest heartbeat as fresh

  # guards against a new leader that takes the second of two late heartbeats for a fresh one
  Scenario: heartbeats that a faster one shows to be late prove nothing
    When a leader hears heartbeat 1 that is 6 seconds late, and then heartbeat 2 that is 4.5 seconds late
    Then the worker counts as heard 1 time, and its newest heartbeat as fresh
    When the leader hears heartbeat 3 that is 0 seconds late
    Then the worker counts as heard 1 time, and its newest heartbeat as fresh
    When the leader hears heartbeat 4 that is 0.2 seconds late
    Then the worker counts as heard 2 times, and its newest heartbeat as fresh

Feature: Addresses for heartbeats
  Followers receive the heartbeats of a large fleet, so that the leader's processor time is left for decisions.

  Background:
    Given a leader at 10.0.0.1 in zone a, which hears followers at 10.0.0.2 in zone b and at 10.0.0.3 in zone c

  Scenario Outline: a worker in zone <zone> of a fleet of <workers> is sent to <address>
    When a worker in zone <zone> of a fleet of <workers> sends a heartbeat to 10.0.0.1
    Then its next heartbeats go to <address>

    Examples:
      | zone | workers | address            |
      | b    | 100     | 10.0.0.1           |
      | b    | 200     | 10.0.0.2           |
      | c    | 200     | 10.0.0.3           |
      | a    | 200     | a follower         |

  Scenario: a worker that a suitable follower serves stays there
    When a worker in zone a of a fleet of 200 sends a heartbeat to 10.0.0.3
    Then its next heartbeats go to 10.0.0.3

  Scenario: a worker that another zone's follower serves is sent to its own zone's
    When a worker in zone b of a fleet of 200 sends a heartbeat to 10.0.0.3
    Then its next heartbeats go to 10.0.0.2

  Scenario: a worker that comes back to the leader is served there for a while
    When a worker in zone b of a fleet of 200 sends a heartbeat to 10.0.0.1
    And 5 seconds later it sends one to 10.0.0.1
    Then its next heartbeats go to 10.0.0.1
    When 6 seconds later it sends one to 10.0.0.1
    Then its next heartbeats go to 10.0.0.2

  Scenario: a follower that is not heard any more is sent no workers
    When a worker in zone b of a fleet of 200 sends a heartbeat to 10.0.0.1
    And the leader loses the follower at 10.0.0.2
    And 11 seconds later it sends one to 10.0.0.1
    Then its next heartbeats go to 10.0.0.3

  Scenario: a leader without followers receives all heartbeats itself
    When the leader loses the follower at 10.0.0.2
    And the leader loses the follower at 10.0.0.3
    And a worker in zone b of a fleet of 200 sends a heartbeat to 10.0.0.1
    Then its next heartbeats go to 10.0.0.1

  Scenario Outline: in <condition> most heartbeats are received by <receiver>
    When a simulated fleet runs jobs in <condition>
    Then most heartbeats are received by <receiver>

    Examples:
      | condition     | receiver  |
      | a small fleet | leader    |
      | a large fleet | followers |

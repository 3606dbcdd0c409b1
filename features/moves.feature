Feature: Moves
  Work is stopped or moved only for a stated cause, and never runs in two places meanwhile.

  Scenario: a feed on a draining minion moves once there is room elsewhere
    Given a quiet simulated fleet
    When a feed runs and its minion is drained
    Then it runs on another minion within 5 seconds, its first run over before the second began

  Scenario: a feed in an emptied area moves to another area, and back is not forced
    Given a quiet simulated fleet
    When a feed runs and its area is emptied and taken back
    Then it runs in another area within 5 seconds, its first run over before the second began

  Scenario: a feed on a draining minion stays while there is no room elsewhere
    Given a quiet simulated fleet
    When a feed runs, all other room is taken, and its minion is drained
    Then it runs on there after 6 seconds, and moves once room is free

  Scenario: a feed whose minion is cut off is not started anywhere else
    Given a quiet simulated fleet
    When a feed runs and its minion is cut off for 10 seconds
    Then it was started once, and runs on

  Scenario: urgent work makes work of a row that yields stop, at no cost of an attempt
    Given a quiet simulated fleet
    When all room is taken by work that yields and an urgent ticket comes
    Then the urgent ticket starts within 3 seconds, and what yielded runs again with no failure counted

  Scenario: work beyond its time limit is killed and counts as failed
    Given a quiet simulated fleet
    When a task with a limit of 1 second and 2 attempts would run for 60
    Then it is killed twice, the ticket fails, and no attempt ran over 2 seconds

Feature: Door fuzz
  Whatever comes to a door gets a clear answer, stops no daemon and leaves all records alike.

  Scenario Outline: distorted requests to the <door> door, seed <seed>
    Given simulated daemons with the platform's doors
    When 800 requests that are distorted with seed <seed> come to the <door> door
    Then each is answered once, clearly, and in words that the door can write
    And a configuration came into force just where one was acknowledged
    And no daemon has stopped, and all records are alike

    Examples:
      | door    | seed |
      | control | 1    |
      | control | 2    |
      | front   | 3    |
      | front   | 4    |

Feature: Adapter fuzz
  Whatever comes to an adapter gets a clear answer, stops no daemon and leaves all cluster states alike.

  Scenario Outline: distorted requests to the <adapter> adapter, seed <seed>
    Given simulated daemons with the platform's adapters
    When 800 requests that are distorted with seed <seed> come to the <adapter> adapter
    Then each is answered once, clearly, and in words that the adapter can write
    And a configuration came into force just where one was acknowledged
    And no daemon has stopped, and all cluster states are alike

    Examples:
      | adapter | seed |
      | control | 1    |
      | control | 2    |
      | front   | 3    |
      | front   | 4    |

Feature: Overload
  While a more urgent queue asks for more than a service has, each queue of the service goes on earning.
  The floor is that of a deployment's day of high load.

  Scenario Outline: a less urgent queue starves beside a more urgent one in arrears
    When urgent gangs come to 7 workers in bursts of 3.2 times the usual, 5.5 s each, at 5 s and 15 s, and of the workers <trouble>, by seeds 1 to 12
    Then each queue has earned at least 0.37 of its worth by every seed

    Examples:
      | trouble                         |
      | none is in trouble              |
      | 2 are lost and 2 fail most runs |
      | 3 are lost                      |

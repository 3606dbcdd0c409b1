Feature: Store
  What was acknowledged survives; what can't be trusted counts as empty.

  Scenario: versions come back in order
    Given a store with 5 steps
    Then loading it again gives all 5 in order

  Scenario: a base takes the place of what came before
    Given a store with 5 steps and a base after the third
    Then loading it again gives the base and the 2 later steps

  Scenario Outline: <damage> means that the machine counts as empty
    Given a store with 5 steps
    When <damage>
    Then loading it again says that it is damaged
    And a control daemon on it starts with a new identity and keeps the old files aside

    Examples:
      | damage                                  |
      | a bit of an older file is flipped       |
      | the newest file is cut short            |
      | a file between is gone                  |

  Scenario Outline: a store of <version> version is left as it is
    Given a store with 5 steps
    When a file has <version> version
    Then a control daemon on it does not start, says which version it reads, and touches nothing

    Examples:
      | version  |
      | a newer  |
      | an older |

  Scenario: a full disk guarantees nothing
    Given a store whose writes fail for lack of space
    Then writing a step raises and the step is not there afterwards

  Scenario Outline: a disk that fails at <step> guarantees nothing and goes on once it works
    Given a store with 5 steps
    When writing fails at <step> and is tried again with more in it
    Then the 5 steps and the one tried again are there, and nothing else

    Examples:
      | step            |
      | opening         |
      | writing         |
      | syncing         |
      | renaming        |
      | folder syncing  |

  Scenario: saves go on while a base is written
    Given a store with 5 steps
    When a base is written beside two more steps
    Then loading it again gives the base and the 2 later steps

  Scenario: files written aside and never renamed are forgotten
    Given a store with 5 steps
    When a file written aside is left over
    Then loading it again gives all 5 in order

Feature: Disk task
  What the decider asks of the disk is written in order, and the decider is told what it waits for.

  Scenario: a snapshot that was encoded comes back with the index that it holds
    Given a disk task beside a store that keeps what it is given
    When an image of the entries up to 7 is to be encoded
    Then the decider is told "encoded" with 7 and the bytes

  Scenario: saves and notes go into one file in order, and the newest save is told
    Given a disk task beside a store that keeps what it is given
    When saves 1 and 2 with a note between them are to be written
    Then one file holds the first save, the note and the second save
    And the decider is told "saved" with 2
    And whoever waits for the note goes on

  Scenario: a base that is waited for is told once it is durable, a segment before it
    Given a disk task beside a store that keeps what it is given
    When a segment and a base for save 3 are to be written
    Then the store holds the segment, then the base
    And the decider is told "saved" with 3

  Scenario: no field of an effect or a job hides a method of its tuple
    Then none of the typed effects and messages has a field named as a method of tuples

Feature: Frames
  Frames that are cut, foreign or faulty stop nothing: whole ones of ours are heard, others are told of.

  Scenario: frames that are cut anywhere reach nobody
    Given a daemon's port for frames
    When a stream of three frames is reset at every byte
    Then just the whole frames of each stream were heard, and nothing was told of the rest
    And a whole frame is heard after them

  Scenario Outline: <frame> is refused
    Given a daemon's port for frames
    When <frame> comes, and a whole frame behind it on the same connection
    Then neither is heard, and the daemon tells of one frame refused
    And a whole frame is heard after them

    Examples:
      | frame                                    |
      | a frame of another version               |
      | a frame longer than any may be           |
      | a frame that is no array                 |
      | a message of an unknown kind             |
      | a message of the daemon's own            |
      | an answer without its call's key         |
      | a greeting from an address that is none  |
      | a greeting from a port beyond any        |
      | a greeting from a port of odd digits     |
      | a greeting that tells of a faulty address |
      | a call to be answered to no address      |
      | a refusal that names no address          |
      | a raft message without a kind            |
      | an entry without an operation            |

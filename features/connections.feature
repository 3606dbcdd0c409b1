Feature: Connections
  What is left on a connection by one call never reaches another.

  Scenario Outline: a client's next call gets its own answer after <before>
    Given a server whose connections each answer what they are told to
    When a client's call meets <before>, and the client calls again
    Then the second call gets its own answer

    Examples:
      | before                                     |
      | an answer that is followed by another      |
      | an answer that is followed late by another |
      | an answer that comes after it was given up |
      | a connection closed within the answer      |
      | a connection closed after the answer       |

  Scenario: requests in a row on one connection are answered in their order
    Given a daemon's port whose decider answers when it is told to
    When three requests come in one piece, and the answers come with older ones repeated
    Then each answer stands in its request's place

  Scenario: a caller that gave up leaves no answer to the next one
    Given a daemon's port whose decider answers when it is told to
    When a caller breaks its connection before it is answered, and another calls
    Then the other gets its own answer

  Scenario Outline: the decider is <told> that a caller has <gone> with <call> under way
    Given a daemon's port whose decider answers when it is told to
    When a caller asks for <call> and has <gone> before it is answered
    Then the decider is <told>, and nothing waits any more

    Examples:
      | call                    | gone                     | told             |
      | an order without number | closed its connection    | told once        |
      | an order without number | reset its connection     | told once        |
      | a job                   | closed its connection    | not told         |

  Scenario: what a caller sends behind an order that is under way is answered in its turn
    Given a daemon's port whose decider answers when it is told to
    When three orders come one behind the other, and are answered in their turn
    Then each answer stands in its order's place, and no end of a connection was told

  Scenario Outline: a connection that is cut <place> stops nothing
    Given a daemon's port whose decider answers when it is told to
    When connections are reset <place>, at every byte
    Then no half request was decided, and a whole one is answered after them

    Examples:
      | place                |
      | within the request   |
      | within the answer    |

  Scenario: a body over the limit is told so, however much of it is still to come
    Given a daemon's port whose decider answers when it is told to
    When a caller sends ten times the largest body before it reads
    Then it reads the status 413

  # Guards against: a connection keeps the limits that were in force when it was opened for as long as it lives.
  Scenario Outline: a request on an open connection meets the limits that are in force by then, <before>
    Given a daemon's port whose decider answers when it is told to
    When a connection is opened <before>, the limits are lowered, and it announces a body over them
    Then it reads the status 413

    Examples:
      | before                    |
      | and says nothing          |
      | and has had an answer     |

  # Guards against: the limit of heads holds only for those that come in pieces.
  Scenario Outline: a head over the limit is refused when it comes <how>
    Given a daemon's port whose decider answers when it is told to
    When the limit of heads is 1000 bytes and one of <size> bytes comes <how>
    Then it reads the status <status>

    Examples:
      | how                          | size | status |
      | at once                      | 1001 | 431    |
      | at once                      | 1000 | 200    |
      | in two pieces                | 1001 | 431    |
      | in two pieces                | 1000 | 200    |
      | at once with its body        | 1000 | 200    |
      | right behind another request | 1001 | 431    |
      | right behind another request | 1000 | 200    |

  # Guards against: bytes behind a request are held in the parser, and nobody counts or times them.
  Scenario: what was read behind a request is held as the beginning of the next one
    Given a daemon's port whose decider answers when it is told to
    When a request comes with half of the head of another one, and is answered
    Then the table of callers counts that half, as of a request that comes in part
    And the second request is given up with the status 408 when its head doesn't end in time

  # Guards against: an answer is lost since its connection is closed with requests that nobody read.
  Scenario Outline: an answer behind which its connection is closed is read whole, <why>
    Given a daemon's port whose decider answers when it is told to
    When a caller sends many requests and reads slowly, and its connection is closed behind a large answer <why>
    Then the caller has read that answer whole

    Examples:
      | why                             |
      | for a newcomer                  |
      | as the process stops            |

  # Guards against: a request that was read is dropped when its process stops (LOST).
  Scenario: a request that was read has its final answer before its process ends after SIGTERM
    Given a daemon's port whose decider answers when it is told to
    When a request still waits while the process stops after SIGTERM
    Then its caller has read the status 503

  Scenario: a request that comes as its process ends has its final answer too
    Given a daemon's port whose decider answers when it is told to
    When a request comes after those that waited were given up
    Then its caller has read the status 503

  # Guards against: a call is answered as not taken when the process ends, and passed on after that (TWICE).
  Scenario: a call that is refused as its process ends is not passed on after that
    Given a daemon's port whose decider answers when it is told to
    When a call comes just before those that wait are given up
    Then it is answered 503, and the decider never has it

  # Guards against: the decoded document of each answer stays while its caller takes nothing (memory).
  Scenario: the document of an answer is not held while its caller takes the answer
    Given a daemon's port whose decider answers when it is told to
    When a caller has taken the first byte of an answer that is larger than any buffer
    Then nothing holds the document of the answer any more

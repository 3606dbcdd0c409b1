Feature: Inbox
  Callers' requests don't keep a daemon from the messages of its cluster, and the other way round.

  # Guards against: callers that ask without a pause depose the leader, whose heartbeats wait behind their requests.
  Scenario Outline: <message> that comes behind many requests is next but one
    Given an inbox with 300 requests of callers that wait
    When <message> comes, and two messages are taken
    Then <message> is one of the two

    Examples:
      | message                      |
      | a frame of another daemon    |
      | a tick                       |
      | the end of a write           |

  Scenario: a request that comes behind many frames is next but one
    Given an inbox with 300 frames of other daemons that wait
    When a request of a caller comes, and two messages are taken
    Then the request is one of the two

  Scenario: each kind keeps its order
    Given an inbox with 300 requests of callers that wait
    When 100 frames of other daemons come, and all messages are taken
    Then the requests and the frames are each taken in the order in which they came

  # Guards against: a request overtakes the end of all requests, and is passed on though its caller is told that it wasn't.
  Scenario Outline: <end> keeps its place among the requests
    Given an inbox with 300 requests of callers that wait
    When <end> comes, then another request, and all messages are taken
    Then <end> is taken behind the first 300 requests and before the last one

    Examples:
      | end         |
      | the give-up |
      | the halt    |

  # Guards against: frames stay unread in their sockets until all requests that came before were decided.
  Scenario: other tasks have their turn while many requests wait
    Given a daemon's loop whose requests each take 10 ms to decide
    When 50 requests wait, and another task puts a frame into the inbox as soon as it has its turn
    Then the frame is decided before the fifth request

  Scenario: reads that take long have turns, and others pass them
    Given a daemon's port whose reads of one path each take 10 ms to decide
    When 40 callers read that path again and again, and another one reads another path
    Then the other one is answered before 10 further reads of that path were decided

  # Guards against: one kind of crowd has all turns, and ordinary reads are refused beside it.
  Scenario Outline: reads that take long have their turns beside <others>
    Given a daemon's port whose reads of one path each take 10 ms to decide
    When all turns of the next minute are given to <others>, and a caller reads that path 4 times
    Then each of its reads is answered with the status 200

    Examples:
      | others                       |
      | bodies of many values        |
      | bodies in very many parts    |

  Scenario: one read that took long by chance is not held back
    Given the costs of reads at a port
    When one read of a path takes long, and those before and after it don't
    Then no read of that path waits for a turn

  Scenario: the costs of reads stay few
    Given the costs of reads at a port
    When 10000 paths are read that each take long twice
    Then the costs of at most 64 paths are kept

Feature: Inbox
  Callers' requests don't keep a daemon from the messages of its cluster, and the other way round.

  # Guards against: callers that ask without a pause depose the leader, whose heartbeats wait behind their requests.
  Scenario Outline: <message> that has waited for 0.2 s behind requests is next
    Given an inbox with 300 requests of callers that wait
    When <message> comes and waits for 0.2 s
    Then <message> is taken before the second of the requests

    Examples:
      | message                      |
      | a frame of another daemon    |
      | a tick                       |
      | the end of a write           |

  # Guards against: ticks and answers of followers are taken one by one as soon as they come, and cost a busy leader more.
  Scenario: messages are taken in the order in which they came while none of the cluster waits long
    Given an inbox with 300 requests of callers that wait
    When 100 frames of other daemons come, 100 requests behind them, and all messages are taken within 0.19 s
    Then they are taken in the order in which they came

  Scenario: requests are taken though frames of other daemons have waited for long
    Given an inbox with 300 requests of callers that wait
    When 300 frames of other daemons come and wait for 5 s, and all messages are taken
    Then requests and frames are taken in turn, each in the order in which they came

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
    When 100 requests wait, and another task puts a frame into the inbox as soon as it has its turn
    Then the frame is decided before the 50th request

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

  # Guards against: a first burst of reads holds the loop for longer than a lease, before their cost is known.
  Scenario: reads that a port names as costly wait for turns until one of them took little
    Given the costs of reads at a port
    When a path is presumed to be costly, and a read of it takes little
    Then reads of it wait for turns until then

  Scenario: the costs of reads stay few
    Given the costs of reads at a port
    When 10000 paths are read that each take long twice
    Then the costs of at most 64 paths are kept

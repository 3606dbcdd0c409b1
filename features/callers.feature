Feature: Callers
  The table of callers keeps its bounds whatever comes, and closes nobody whose request was read whole.

  Scenario: random histories keep the bounds
    When 300 random histories of a small table are played
    Then its sums and its order are right after each step, and no bound is passed
    And no connection was closed while its request waited or was being answered

  Scenario Outline: <newcomer> comes to a table full of <others>
    Given a table of 4 connections, all of them <others>
    When one more connection comes
    Then <outcome>

    Examples:
      | newcomer | others                              | outcome                                      |
      | a caller | silent                              | the one that has been silent longest is closed |
      | a caller | stopped within a request            | the one that has been silent longest is closed |
      | a caller | idle after an answer                | the one that has been silent longest is closed |
      | a caller | waiting for their answers           | the newcomer is refused and nobody is closed |
      | a caller | taking their answers                | the newcomer is refused and nobody is closed |

  Scenario: a newcomer that was refused finds the place of the next one that is answered
    Given a table of 4 connections, all of them waiting for their answers
    When one more connection comes and is refused, and two of those that wait are answered
    Then just the first of the two is closed behind its answer, and another newcomer finds its place

  Scenario: no place is given up once a newcomer has found one free
    Given a table of 4 connections, all of them waiting for their answers
    When one more connection comes and is refused, one that waits ends and another newcomer takes its place
    Then no connection is closed behind its answer

  Scenario: an idle caller that was served outlasts those that only hold a place
    Given a table of 4 connections, the oldest idle after an answer and the others silent
    When three more connections come
    Then the one that was served is still open

  # Guards against: sockets of evicted connections, which end a little later, take descriptors beyond the settings.
  Scenario: connections that were closed for others count until their sockets are closed
    Given a table of 40 connections, all of them stopped within a request
    When newcomers come as long as they may be accepted, and no closed connection ends
    Then as many were closed as the descriptors allow beside the open ones, and the oldest of them is aborted
    When that one ends
    Then just one more newcomer may be accepted

  Scenario: a small request finds room beside large ones that fill their part
    Given a table whose large requests have taken all that they may
    When another large request and a small one are read whole
    Then the large one is refused and the small one is taken

  Scenario: parts that have come make room for a whole request, the ones silent longest first
    Given a table that is full of requests that came in part
    When a small request is read whole
    Then it is taken, and only the part that was silent longest is given up

  Scenario: a caller that takes nothing of its answer is cut off, one that takes some of it isn't
    Given a table of 4 connections, all of them taking their answers
    When one of them takes a part each second for ten seconds
    Then just the others are cut off

  Scenario Outline: <values> values in CBOR are <told> by a limit of <limit>
    When CBOR texts with <values> values of all kinds are scanned with a limit of <limit>
    Then each scan says that it is <told>

    Examples:
      | values | limit | told  |
      | 1      | 1     | taken |
      | 1000   | 1000  | taken |
      | 1000   | 999   | refused |

  Scenario: the estimate of a decoded body is no less than what decoding takes
    When dense bodies of every kind are decoded, checked and translated
    Then none takes more memory than was estimated

  # Guards against: rough estimates fill the table, and requests that there is room for are refused.
  Scenario: as many small requests are taken as when all their values are counted
    Given a table whose callers send whole requests of 3000 bytes with 300 values
    When requests are read whole until one is refused
    Then at least half as many are taken as there would be room for by exact counts

  Scenario: the rough estimate of values is never less than the exact count
    When bodies of every kind are counted roughly and exactly
    Then no exact count is larger

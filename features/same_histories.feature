Feature: Same histories
  A change of form alone, as a name or a place in the code, leaves every history in the simulators as it is.

  Scenario Outline: <simulator> go as they were recorded
    When all histories of <simulator> are recorded
    Then there are <least> or more and each has the digests that are kept of it
    And the events told in them include <events>

    Examples:
      | simulator     | least | events                                                                   |
      | fleets        | 30    | 110 121 122 126 130 131 132 140 141 150 152 155 160 170                  |
      | jobs          | 30    | 101 110 121 122 123 126 130 131 132 140 141 150 155 180 181              |
      | second-losses | 30    | 101 110 111 112 113 120 121 122 123 124 126 127 130 131 132 140 141 160  |

  Scenario Outline: <simulator> of the consensus model go as they were recorded
    When all histories of <simulator> are recorded
    Then there are <least> or more and each has the digests that are kept of it

    Examples:
      | simulator | least |
      | schedules | 30    |
      | searches  | 20    |

  Scenario: Digests are the same in processes that hash otherwise
    When one history of each simulator is recorded in two processes that hash otherwise
    Then both tell the digests that are kept

  Scenario Outline: <change> shows in <label>
    When the history <label> is recorded with <change>
    Then its digests differ in <part>

    Examples:
      | change                          | label                        | part      |
      | a longer heartbeat              | fleets/calm/0                | times     |
      | a longer heartbeat              | jobs/calm/0                  | events    |
      | a longer heartbeat              | second-losses/leader-stops/0 | frames    |
      | a longer heartbeat              | schedules/drawn/1            | frames    |
      | another version of the wire     | fleets/calm/0                | frames    |
      | another version of the wire     | schedules/drawn/1            | frames    |
      | another version of the wire     | searches/election/0          | frames    |
      | one bit of what is kept changed | second-losses/leader-stops/0 | disks     |
      | one more status code            | jobs/calm/0                  | times     |
      | one more blank in a document    | fleets/calm/0                | documents |

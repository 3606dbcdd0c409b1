Feature: Images
  Replicas at one index hold the same bytes, compare them now and then, and bound them; a snapshot of any
  size is sent in bounded memory.

  Scenario: members that hold the same compare their images and tell nothing
    Given a cluster that makes images all the time, under traffic
    When its daemons run on for 12 seconds
    Then each follower has compared images with the leader, and none differs

  Scenario Outline: a member whose state <how> tells so at the next image
    Given a cluster that makes images all the time, under traffic
    When the state of a follower <how>, and its daemons run on for 6 seconds
    Then that follower and nobody else tells that its image differs from the leader's
    And its metrics count it

    Examples:
      | how                                   |
      | counts one draft more                 |
      | has another time for a zone's closing |

  Scenario: a leader of an earlier version knows no digests, and is asked in vain
    Given a cluster that makes images all the time, under traffic
    When its daemons run on for 8 seconds while no leader knows the request
    Then no follower has compared any image, and few are kept for it
    And jobs went on to end

  Scenario Outline: an installed snapshot is compared with its sender: <told>
    Given a follower that installed a snapshot of <sender>
    When <leader> answers with <digest> digest for its index
    Then that follower has told of <told>

    Examples:
      | sender  | leader  | digest  | told         |
      | leader1 | leader1 | the     | nothing      |
      | leader1 | leader1 | another | a difference |
      | leader1 | leader2 | another | nothing      |

  Scenario Outline: a payload cut into chunks of <most> bytes is the cbor of its parts
    Given payloads of snapshots with no, one and three segments
    When they are cut into chunks of <most> bytes
    Then each is the cbor of its image, span and segments, and is received as it was

    Examples:
      | most    |
      | 1       |
      | 7       |
      | 4096    |
      | 1000000 |

  Scenario: a snapshot is sent and received in bounded memory
    Given the payload of a snapshot of 24 MB
    When it is cut into chunks of 256 KB, and received
    Then sending took no more than 2 chunks beside it
    And receiving took no more than 2.5 times its bytes

  Scenario: what would enlarge a full state is refused at once, and taken again once there is room
    Given a control daemon whose images may have 200 KB
    When jobs with specifications of 4000 bytes are handed in until one is refused
    Then it is told 429, the code state_full, and when to come back
    And the refusal has its event, and no job was taken that was told so
    And no image was larger than its bound and one step of it
    And a cancel, a configuration and an evacuation are taken still
    When all jobs are cancelled and forgotten
    Then a job is taken again

  Scenario: without the bound a state grows beyond it
    Given a control daemon whose images may have 200 KB
    When 100 jobs with specifications of 4000 bytes are handed in with no heed to the bound
    Then an image is larger than its bound and one step of it

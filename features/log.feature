Feature: Log
  Entries are held, sent and kept by their bytes; large ones never hold back a heartbeat.

  Scenario: hundreds of large changes stay within what the settings allow
    Given a cohort on machines of 296 MB of memory and 128 MB of disk
    When 150 changes of a 256 KB configuration come 0.2 s apart
    Then every change was acknowledged under one leader
    And no log held more than the limits allow, and no folder more than a quarter of the disk
    And no message between members was larger than one change and its envelope
    And all members hold the same record

  Scenario Outline: a member that missed many changes catches up in the time of a few, <how>
    Given a cohort on machines of 296 MB of memory and 128 MB of disk, on links of 50 Mbit/s
    When a member misses 16 and, in a second run, 96 changes of a 64 KB configuration and comes back <how> under further ones
    Then it catches up both times, and the second time in at most 3 s and twice the time more
    And it is sent at most 8 MB the second time
    And whoever led goes on leading, and all members hold the same record

    Examples:
      | how        |
      | as it was  |
      | wiped      |

  Scenario Outline: a leader whose quorum needs a member on 2 Mbit/s keeps it while that one catches up with <size> KB changes
    Given a cohort on machines of 296 MB of memory and 128 MB of disk, on links of 2 Mbit/s
    When a member misses 80 changes of a <size> KB configuration, comes back, and the other follower is lost
    Then it catches up within 20 s and nobody stands for an election
    And a further change is acknowledged

    Examples:
      | size |
      | 64   |
      | 256  |

  Scenario: a snapshot goes on to be sent though its leader makes newer ones
    Given a cohort on machines of 96 MB of memory and 32 MB of disk, on links of 2 Mbit/s
    When a member without any log is sent a snapshot of 1 MB under changes that make a newer one every 2 s
    Then it installs the snapshot that it was being sent first

  Scenario: changes that no follower keeps are held back before the log is full
    Given a cohort on machines of 64 MB of memory and 32 MB of disk
    When the disks of both followers stand still while 40 changes of a 256 KB configuration are handed in together
    Then the log holds no more than the limits allow and one change beside
    And what was held back is answered as not taken, and never takes effect
    When the disks go on
    Then what was proposed takes effect, and the log shrinks to what a base leaves

  Scenario: a packed operation is written as the operation itself
    Given an operation of 20 KB and a small one
    Then only the large one is packed, and both give the same frame and file as they would unpacked
    And decoding the large one gives the operation back

  Scenario: sizes told of operations are not below what their encoding takes
    Given a day of jobs under holds that is calm, of seed 3
    Then every small entry's size is from once to six times its encoding

  Scenario: a large frame holds up no heartbeat
    Given a receiver that never reads a large frame
    When a large frame and a heartbeat are sent to it
    Then the heartbeat arrives

  Scenario: what waits for a destination is bounded by bytes
    Given a lane that may hold 100,000 bytes and is not connected
    When 50 frames of 10,000 bytes are put into it
    Then the newest 10 wait

  Scenario: a frame larger than the bound still goes
    Given a lane that may hold 100,000 bytes and is not connected
    When 1 frames of 300,000 bytes are put into it
    Then the newest 1 wait

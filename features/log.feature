Feature: Log
  Entries are held, sent and kept by their bytes; large ones never hold back a heartbeat.

  Scenario: hundreds of large changes stay within what the settings allow
    Given a cluster on machines of 296 MB of memory and 128 MB of disk
    When 100 changes of a 256 KB configuration come 0.2 s apart
    Then every change was acknowledged under one leader
    And no log held more than the limits allow, and no folder more than a quarter of the disk
    And no message between members was larger than one change and its envelope
    And all members hold the same cluster state

  Scenario Outline: a member that missed many changes catches up in the time of a few, <how>
    Given a cluster on machines of 296 MB of memory and 128 MB of disk, on links of 50 Mbit/s
    When a member misses 16 and, in a second run, 96 changes of a 64 KB configuration and comes back <how> under further ones
    Then it catches up both times, and the second time in at most 3 s and twice the time more
    And it is sent at most 3 MB the second time
    And whoever led goes on leading, and all members hold the same cluster state

    Examples:
      | how        |
      | as it was  |
      | wiped      |

  Scenario Outline: a leader whose quorum needs a member on 2 Mbit/s keeps it while that one catches up with <size> KB changes
    Given a cluster on machines of 296 MB of memory and 128 MB of disk, on links of 2 Mbit/s
    When a member misses 80 changes of a <size> KB configuration, comes back, and the other follower is lost
    Then it catches up within 20 s and nobody stands for an election
    And a further change is acknowledged

    Examples:
      | size |
      | 64   |
      | 256  |

  Scenario Outline: members killed and wiped one after the other under a steady stream of changes, seed <seed>
    When changes of 128 KB come for 40 s with members killed and wiped, seed <seed>
    Then 3 or more were lost and each was back with its vote within 5 s
    And 9 of 10 changes were acknowledged, and what is in force is the newest of them on every member

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: a snapshot goes on to be sent though its leader makes newer ones
    Given a cluster on machines of 96 MB of memory and 32 MB of disk, on links of 2 Mbit/s
    When a member without any log is sent a snapshot of 1 MB under changes that make a newer one every 2 s
    Then it installs the snapshot that it was being sent first

  Scenario: changes that no follower keeps are held back before the log is full
    Given a cluster on machines of 64 MB of memory and 32 MB of disk
    When the disks of both followers stand still while 40 changes of a 256 KB configuration are handed in together
    Then the log holds no more than the limits allow and one change beside
    And what was held back is answered as not taken, and never takes effect
    When the disks go on
    Then what was proposed takes effect, and the log shrinks to what a base leaves

  Scenario: an answer to a piece that comes twice makes no second piece
    Given a leader that sends a snapshot in pieces
    When the answer to its first piece comes twice
    Then one further piece is sent

  Scenario: what the settings tell of memory and disk bounds the log
    Given a settings file of a core with limits.memoryMb=296 and limits.diskMb=128
    Then the place tells 296000000 bytes of memory and 128000000 of disk, and the log may hold 16000000
    And a folder on a tenth of that disk leaves the log 4000000
    And the control daemon's own settings take memory_mb and disk_mb, and refuse 0, true and a text

  Scenario Outline: an operation with named tuples is measured as the plain one that others decode: <kind>
    Given an operation of a log with <kind>
    Then it has the same size as its plain form, and as its form on the wire

    Examples:
      | kind                   |
      | a named tuple          |
      | named tuples in a list |
      | named tuples in a map  |
      | plain tuples           |

  Scenario Outline: the injected fault <injected> is found
    Given the injected fault <injected> among large changes
    Then the scenario "<scenario>" fails

    Examples:
      | injected            | scenario                                                    |
      | bytes-uncounted     | hundreds of large changes                                   |
      | taken-forgotten     | hundreds of large changes                                   |
      | laggards-by-entries | a member that missed many changes                           |
      | one-connection      | catches up with 256 KB changes                              |
      | one-connection      | a large frame holds up no heartbeat                         |
      | snapshot-begun-anew | a snapshot goes on to be sent                               |
      | never-full          | changes that no follower keeps                              |
      | answers-twice       | an answer to a piece that comes twice                       |

  Scenario: a packed operation is written as the operation itself
    Given an operation of 20 KB and a small one
    Then only the large one is packed, and both give the same frame and file as they would unpacked
    And decoding the large one gives the operation back

  Scenario: sizes told of operations are not below what their encoding takes
    Given a day of jobs under leases that is calm, of seed 3
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

  Scenario Outline: after a loss of power members apply <what> in slices, and the first leader goes on beating
    Given 3 members that lost power with <count> entries of <size> bytes since their base
    When they start again and one of them leads
    Then no step applied more than a slice, and it took no more ticks than slices and 4
    And the leader sent every heartbeat in its time, and nobody else stood for an election

    Examples:
      | what                  | count | size   |
      | many small entries    | 3000  | 40     |
      | a few large entries   | 24    | 150000 |
      | less than a slice     | 200   | 40     |

  Scenario: what comes between two bases is applied within 0.3 s of the first election after a restart
    Given 3 members that lost power with as many small entries as come between two bases
    When they start again and one of them leads
    Then all was applied within 12 ticks

Feature: Stored data
  Data folders that an older version wrote are opened by this one, and show the same.

  Scenario Outline: the <kind> data folders show what they showed when they were written
    Given a copy of the <kind> stored data folders
    When the daemons open them
    Then each shows the expected term, votes, members, log and record
    And the restarted daemons answer reading calls as expected

    Examples:
      | kind  |
      | small |
      | grown |

  Scenario Outline: daemons on the <kind> data folders go on, and restart with old and new
    Given a copy of the <kind> stored data folders
    When the restarted daemons take a job, a job and a configuration
    And the daemons are restarted once more
    Then the job, the job and the configuration are there, and all that was there before

    Examples:
      | kind  |
      | small |
      | grown |

  Scenario Outline: a flipped byte in <file> is found
    Given a copy of the grown stored data folders
    When a byte of <file> is flipped
    Then the daemon says that its folder is damaged and shows nothing of it

    Examples:
      | file                |
      | the newest snapshot |
      | the oldest segment  |
      | the oldest step     |
      | the newest step     |

  Scenario: a flipped byte in a segment that no snapshot stands on yet is mended from the log
    Given a copy of the grown stored data folders
    When a byte of the newest segment is flipped
    Then the restarted daemons answer reading calls as expected
    And the segment holds again what it held

  Scenario Outline: a folder that <changed> does not pass for the one expected
    Given a copy of the grown stored data folders
    When the folder <changed>
    Then it shows otherwise than expected, in <what>

    Examples:
      | changed                   | what                               |
      | lacks its newest step     | digest of the record with the log  |
      | holds another old job     | digest of the snapshot's record    |
      | holds another vote        | votes                              |

  # Guards against: after an update that can apply the entry, the accepted jobs and the configuration stay lost (LOST).
  Scenario: a folder whose committed entry ended the version that wrote it, again and again, is taken up
    Given a copy of the folder of a daemon that could not apply a committed entry
    When this version's daemon starts on it
    Then the jobs and the configuration that were acknowledged are there, and the entry is applied
    And the tenant of the entry has another such job completed, also after one more restart

Feature: Early cancellations
  A job whose cancellation was acknowledged never starts, though a copy of its submission is still on its way, and
  whoever leads by then. A crowd of such cancellations takes bounded memory, disk and commits.

  # Guards against: a copy of a submission that arrives after the cancel was answered 410 is accepted and runs (UNASKED).
  Scenario: a submission that arrives after its cancellation is cancelled, and stays so
    Given a control daemon whose workers take work
    When job A is cancelled before it arrives
    Then that is answered 410
    And reading job A is answered 410
    When job A arrives
    Then it is answered 200 and cancelled, also when it arrives again
    And reading job A is answered 200 and cancelled
    And no task of job A is placed in 5 seconds

  # Guards against: the record of the cancellation is lost with the leader, or with an image.
  Scenario Outline: a cancellation holds after a restart from <what>
    Given a control daemon whose workers take work
    When job A is cancelled before it arrives
    And the control daemon is restarted from <what>
    And job A arrives
    Then it is answered 200 and cancelled, also when it arrives again

    Examples:
      | what     |
      | its log  |
      | an image |

  # Guards against: a cancel is answered from the applied state while the submission is appended and not committed.
  Scenario: a submission that a stalled disk holds up is cancelled by what is appended behind it
    Given a control daemon whose workers take work
    When the disk does not save, job A arrives, and is cancelled
    Then neither is answered
    When the disk saves what was held up
    Then both are answered 200, and job A is cancelled

  # Guards against: a cancel that is acknowledged before its record is durable.
  Scenario: a cancellation is not answered before its tombstone is saved
    Given a control daemon whose workers take work
    When the disk does not save, and job A is cancelled before it arrives
    Then neither is answered
    When the disk saves what was held up
    Then that is answered 410

  Scenario: a tombstone outlasts every copy that may be on its way, and no longer bars the name after that
    Given a control daemon whose workers take work
    When job A is cancelled before it arrives
    And as long passes as a copy may be on its way
    And job A is cancelled before it arrives
    And as long passes as a copy may be on its way
    And job A arrives
    Then it is answered 200 and cancelled, also when it arrives again
    When job B is cancelled before it arrives
    And the time of tombstones passes
    And job B arrives
    Then it is answered 200 and queued

  # Guards against: cancels of unknown jobs that fill memory, disk and commits, as any caller can ask for them.
  Scenario: a crowd of cancellations gets few entries, and beyond its room is told when to come back
    Given a control daemon whose workers take work, with room for 40 tombstones
    When 100 unknown jobs are cancelled at once
    Then 40 of them are answered 410 and 60 are answered 503 with Retry-After
    And at most 3 entries were appended for them
    When 100 other unknown jobs are cancelled at once
    Then all of them are answered 503 with Retry-After, and no entry was appended for them
    And each of the 40 jobs that arrives is cancelled
    And a job that nobody cancelled is accepted
    When the time of tombstones passes
    And 40 other unknown jobs are cancelled at once
    Then all of them are answered 410, and 40 tombstones are stored

  Scenario: cancellations that come one after the other are gathered too
    Given a control daemon whose workers take work
    When 8 callers cancel unknown jobs one after the other for 2 seconds
    Then at most 41 entries were appended for them, and each cancel was answered within 0.2 seconds

  Scenario: the memory of tombstones is counted
    Given the most tombstones that may be stored
    Then they take no more memory than is counted for them
    And their image takes less than 1 MB

  # Guards against: a caller bars jobs that it may not cancel, or takes the room of another tenant.
  Scenario Outline: a cancellation by <caller> at <called> <what> a job of <owner> at <queue>
    Given a leased job state with a public and a private queue, and tenants a and b
    When <caller> cancels job A at <called> before it is accepted
    And <owner> hands in job A at <queue>
    Then the leased job state with tenants <answers>

    Examples:
      | caller | called  | what          | owner  | queue   | answers        |
      | a      | private | stops         | a      | private | shows it cancelled |
      | a      | private | stops         | a      | public  | shows it cancelled |
      | a      | private | does not stop | b      | private | shows it queued    |
      | a      | private | stops         | nobody | public  | shows it cancelled |
      | nobody | public  | stops         | a      | public  | shows it cancelled |
      | nobody | public  | does not stop | a      | private | shows it queued    |
      | nobody | public  | stops         | nobody | public  | shows it cancelled |

  Scenario: a cancellation of a job that was accepted meanwhile counts only for a caller who may cancel it
    Given a leased job state with a public and a private queue, and tenants a and b
    When b hands in job A at private
    Then a cancellation of job A by a at private is answered foreign, by b cancelled

  Scenario: a tenant's tombstones leave room for others
    Given a leased job state with a public and a private queue, and tenants a and b
    When a cancels as many unknown jobs as it may, and one more
    Then the last is answered full, and one of b is answered missing

  # Guards against: an operation that some member does not know is proposed.
  Scenario: beside a member that knows no tombstones a cancel is answered as by that version
    Given a control daemon whose workers take work, and a member of level 4
    When job A is cancelled before it arrives
    Then that is answered 410
    And at most 0 entries were appended for them

  # Guards against: records of jobs that are over are dropped early, so that a copy that is on its way runs the job again.
  Scenario: a crowd of short jobs does not push out the records of jobs whose copies may be on their way
    Given a control daemon whose workers take work, and which keeps 20 records of jobs that are over
    When jobs are handed in and cancelled until one is refused
    Then it is refused with 429, state_full, after 20 jobs
    And every one of them that arrives again is answered cancelled
    When the time of tombstones passes
    Then a job that nobody cancelled is accepted

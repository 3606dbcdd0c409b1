Feature: Incarnations
  A daemon that is started again has nothing to do with the calls of its former incarnation.

  Scenario: the answer to a former incarnation's heartbeat is given to nobody
    Given a follower that was started again while the leader had a heartbeat of one worker from it
    When its new incarnation carries a heartbeat of another worker
    And the leader's answer to the former incarnation's heartbeat arrives
    Then no caller is told anything, and the follower tells of an answer to nobody
    When the leader's answer to the new incarnation's heartbeat arrives
    Then the other worker is told it once

  Scenario: a leader holds no call back for one of a former incarnation
    Given a follower that was started again while the leader had a heartbeat of one worker from it
    When its new incarnation carries a heartbeat of another worker
    Then the leader answers both heartbeats, each once

  Scenario: a change is not answered with the outcome of a former incarnation's change
    Given a follower whose former incarnation has carried a change of the queue configuration to its end
    When its new incarnation carries another change
    Then the other change is in force, and its answer tells the version that it made

  Scenario Outline: an answer about another call is given to nobody
    Given a daemon that carries a heartbeat of one worker
    When an answer under that heartbeat's token tells of <another>
    Then no caller is told anything, and the daemon tells of an answer to another call
    When its own answer comes
    Then the worker is told it once

    Examples:
      | another                   |
      | a beat of another minion  |
      | another call of the minion |

  Scenario Outline: a follower started again while a snapshot is on its way gets all that it lacks
    Given a leader that sends a follower a snapshot in <pieces>, without the segments that it holds
    When the follower is started again after <taken> pieces and holds fewer segments by then
    And what its former incarnation answered last arrives again
    Then the follower installs the snapshot with all of its segments

    Examples:
      | pieces      | taken |
      | one piece   | 0     |
      | many pieces | 0     |
      | many pieces | 2     |

  Scenario: an outcome at an index that was lost and used again is told to nobody who waits for the first
    Given a leader that is cut off, with a change from a follower in its log
    When another leader agrees on other changes, and the first leads again after the cut
    Then the change is told as unsure, once, and nothing more
    And the change is not in force

  Scenario Outline: <message> is dropped, and told of
    Given a follower of a cluster that serves
    When <message> comes to it
    Then it tells of a message that is not for it, and does nothing else

    Examples:
      | message                                 |
      | an append of another cohort             |
      | a vote asked for by another cohort      |
      | an append to an identity that was wiped |
      | news for a front                        |

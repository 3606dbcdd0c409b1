Feature: Quorum
  Every commit quorum meets every election quorum, and any two election quorums meet.

  Scenario: static quorums of small fleets, exhaustively
    Given every way to spread 1 to 6 control daemons over 1 to 4 zones
    When every commit and election quorum in static mode is listed
    Then each commit quorum meets each election quorum
    And any two election quorums meet

  Scenario: quorums of single control daemons, exhaustively
    Given every way to spread 1 to 6 control daemons over 1 to 4 zones
    When every commit and election quorum in single mode is listed
    Then each commit quorum meets each election quorum
    And any two election quorums meet
    And of five control daemons any two may go, of three any one

  Scenario: one zone may go
    Given the two deployments of the brief
    Then in each the control daemons left without any one zone commit and elect
    And in each the control daemons left without any one control daemon commit and elect

  Scenario: joint changes, exhaustively
    Given every way to spread 1 to 4 control daemons over 1 to 3 zones
    When one control daemon is added, removed or replaced by joint consensus
    Then joint quorums meet the quorums of both the old and the new members

  Scenario: an injected miscount is seen
    Given every way to spread 1 to 5 control daemons over 1 to 4 zones
    When the election quorum is derived one group too small
    Then some quorums are found not to meet

  Scenario: dynamic elections find every leader that may have been
    When 1500 seeded histories of dynamic elections are run
    Then no two leaders of one term are elected and each election meets the newest leader's commit quorum

  Scenario: the walk as printed, without adding groups up, is seen to lose a leader
    When 1500 seeded histories of dynamic elections are run with the printed walk
    Then some election misses the newest leader's commit quorum

  Scenario: the sequence of Figure 2, in both modes
    Given nine control daemons in three groups and the votes of Figure 2 in term 6
    When S8 campaigns in term 7 while S1 and group 2 are away
    Then in dynamic mode the election stays undecided, and in static mode it is won
    And in dynamic mode it is won once S1 tells that it voted for neither
    And in dynamic mode it stays open once S1 tells that it voted for S4, until group 2 agrees

Feature: Trial
  Simulated fleets under every fault scenario of failures keep every guarantee; injected faults are found.

  Scenario Outline: <scenario> breaks no guarantee
    When the fault scenario <scenario> is tried with seeds 1 to 3 on every fleet in turn
    Then no check finds a fault

    Examples:
      | scenario       |
      | calm           |
      | kills          |
      | leaders-fall   |
      | cuts           |
      | areas-fall     |
      | freezes        |
      | clocks         |
      | disks          |
      | wiped          |
      | replaced       |
      | outage         |
      | power          |
      | forgotten      |
      | failing        |
      | minions-fail   |
      | crashes        |
      | withdrawn      |
      | crowds         |
      | scattered      |
      | operators      |
      | verges-restart |
      | foul           |
      | storm          |
      | full           |
      | clock-outage   |
      | impossible     |
      | setup-storm    |
      | large-setup    |
      | crowds-ten     |
      | cancel-cut     |

  Scenario: a day's end breaks no guarantee, whatever fault ends it
    When the fault scenario final is tried with seeds 1 to 7 on every fleet in turn
    Then no check finds a fault

  Scenario Outline: <scenario> breaks no guarantee in dynamic mode
    When the fault scenario <scenario> is tried in dynamic mode with seeds 1 to 2 on nine control daemons
    Then no check finds a fault

    Examples:
      | scenario     |
      | kills        |
      | leaders-fall |
      | cuts         |
      | power        |

  Scenario Outline: <scenario> breaks no guarantee while the log is compacted all the time
    Given the condition frequent-snapshots
    When the fault scenario <scenario> is tried with seeds 4 to 6 on every fleet in turn
    Then no check finds a fault

    Examples:
      | scenario     |
      | leaders-fall |
      | replaced     |
      | power        |
      | storm        |

  Scenario Outline: the injected fault <injected> is found
    Given the injected fault <injected>
    When the fault scenario <scenario> is tried with seeds 0 to 11 on every fleet in turn
    Then some check finds <fault>

    Examples:
      | injected              | scenario     | fault                      |
      | early-proof           | minions-fail | while another ran          |
      | silence-is-an-end     | minions-fail | started after it had ended |
      | sent-again            | foul         | started twice              |
      | saved-too-soon        | power        | started                    |
      | amnesia               | forgotten    | started after it had ended |
      | forerunners-ignored   | calm         | started before             |
      | not-before-ignored    | calm         | started early              |
      | attempts-unbounded    | failing      | failures                   |
      | cancel-in-word        | operators    | after its cancel           |
      | closed-ignored        | operators    | closed                     |
      | room-doubled          | crowds       | held                       |
      | base-ignored          | operators    | were accepted              |
      | refused-takes-effect  | operators    | a change that was refused  |
      | change-not-kept       | operators    | missing at day's end       |
      | news-kept-back        | operators    | not in force at every      |
      | gangs-apart           | scattered    | did not start together     |
      | lost-is-tried-again   | crashes      | started after it had ended |
      | failed-counts-as-done | calm         | shown finished             |
      | slow-elections        | outage       | no service after           |
      | votes-twice           | leaders-fall | two leaders                |
      | promises-when-full    | full         | differs at                 |
      | any-clock             | clock-outage | cohort time is off         |
      | impossible-unseen     | impossible   | without a word             |
      | bound-ignored         | crowds-ten   | shed nothing               |
      | limit-ignored         | setup-storm  | units of                   |
      | killed-once           | cancel-cut   | ran on after its cancel    |
      | history-cut           | final        | missing at day's end       |

  Scenario: the injected fault own-clock is found
    Given the injected fault own-clock
    When the fault scenario clocks is tried with seeds 12 to 23 on every fleet in turn
    Then some check finds started early

  Scenario: the injected fault lost-not-counted is found
    Given the injected fault lost-not-counted
    When the fault scenario crashes is tried with seeds 0 to 23 on every fleet in turn
    Then some check finds failures

  Scenario Outline: <scenario> with seed <seed> on <fleet>, once broken: <cause>
    When the fault scenario <scenario> is tried with seed <seed> on the fleet <fleet>
    Then no check finds a fault

    Examples:
      | scenario | seed | fleet | cause                                                   |
      | storm    | 2    | bare  | a thawed verge took old news for the time of day        |
      | replaced | 134  | bare  | an overtaken answer was taken for a forgetful follower  |
      | replaced | 11   | bare  | a newcomer was let in beside one not yet known as lost  |
      | wiped    | 0    | three | an empty machine was let in beside its former self      |
      | crowds   | 11   | bare  | a cancel asked twice was refused                        |
      | clock-outage | 6 | three | one clock heard alone at a restart became the cohort's  |
      | final    | 5    | bare  | time stood still after clocks had been behind           |

  Scenario: the same seed gives the same history
    When the fault scenario storm is tried twice with seed 3
    Then both histories are the same to the last event

  Scenario: the same seed gives the same history in another process
    When the fault scenario operators is tried with seed 4 in two processes that hash otherwise
    Then both processes tell the same history

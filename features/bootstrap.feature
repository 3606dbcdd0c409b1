Feature: Founding
  Empty machines found a cohort only if nobody in reach knows one, and an empty one never founds alone.

  Scenario: emptied accords beside verges that remember a cohort found no second one
    Given a simulated fleet that serves
    When all its accords come back empty while its verges run on
    Then no cohort is founded in 20 seconds, and the accords say what holds them back

  Scenario: once nobody remembers, the same machines found anew
    Given a simulated fleet that serves
    When all its accords come back empty and all its verges start anew
    Then a cohort with another name is founded within 10 seconds

  Scenario: one empty accord beside survivors joins and never founds
    Given a simulated fleet that serves
    When one accord comes back empty while cut off from all others
    Then it founds nothing in 10 seconds, and joins the old cohort once it is back

  Scenario: a verge that can't learn news says that it is stale
    Given a simulated fleet that serves
    When a verge is cut off from every accord for 4 seconds
    Then its health says stale, the others' doesn't, and not after it is back

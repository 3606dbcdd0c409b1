Feature: Bootstrap
  Empty machines bootstrap a cluster only if nobody in reach knows one, and an empty one never bootstraps alone.

  Scenario: emptied control daemons beside front daemons that remember a cluster bootstrap no second one
    Given a simulated fleet that serves
    When all its control daemons come back empty while its front daemons run on
    Then no cluster is bootstrapped in 20 seconds, and the control daemons say what holds them back

  Scenario: once nobody remembers, the same machines bootstrap anew
    Given a simulated fleet that serves
    When all its control daemons come back empty and all its front daemons start anew
    Then a cluster with another name is bootstrapped within 10 seconds

  Scenario: one empty control daemon beside survivors joins and never bootstraps
    Given a simulated fleet that serves
    When one control daemon comes back empty while cut off from all others
    Then it bootstraps nothing in 10 seconds, and joins the old cluster once it is back

  Scenario: a front daemon that can't learn news says that it is stale
    Given a simulated fleet that serves
    When a front daemon is cut off from every control daemon for 4 seconds
    Then its health says stale, the others' doesn't, and not after it is back

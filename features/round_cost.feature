Feature: Cost of rounds
  What a round costs follows what it can place and what has changed, not the fleet times the work that waits.

  Scenario Outline: after a zone is lost, one more of <what> that wait does not cost a round a look at every worker
    Given fleets of 150 and of 750 workers, 20 in a rack, of which a fifth were lost and the others are more than half full
    When in each 20 and then 60 <what> wait that no worker has capacity for
    Then one more of them costs a round of the large fleet at most 2 times what it costs one of the small fleet

    Examples:
      | what                   |
      | gangs that want a rack |
      | gangs                  |
      | scans                  |

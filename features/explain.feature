Feature: Whence
  The explaining tool says why each task went where it went, or why it waits.

  Scenario: a finished ticket tells each attempt, where, by whom, how, and on whose credits
    Given a simulated fleet with a ticket that failed once and then finished
    Then whence names both attempts with minion, verge, how, epoch, setup version and lenders
    And it says the same once the ticket is archived

  Scenario: a parked ticket tells why, and every minion with what rules it out
    Given a simulated fleet with an impossible ticket
    Then whence says what no minion has, and lists each minion as lacking it

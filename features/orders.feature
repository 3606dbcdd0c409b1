Feature: Orders
  An operator's order is taken once, never refused once taken, and never taken anew when it comes late.

  Scenario: random orders are answered as the plain rules say
    Then random orders, sent again and after restarts of the record, are answered as the rules say

  Scenario Outline: random orders find the planted fault <plant>
    Given the planted fault <plant>
    Then random orders are not answered as the rules say

    Examples:
      | plant                   |
      | base-unheeded           |
      | number-is-enough        |
      | taken-not-in-snapshots  |
      | order-of-members-counts |
      | old-changes-refused     |
      | faults-unseen           |

  Scenario Outline: after more changes than are remembered, <call> sent again is not refused and not taken twice
    Given 1100 changes were taken, one upon the other, <call> among the first
    When <call> is sent again
    Then it is answered with 504, and nothing has changed
    When the oldest change that is remembered is sent again
    Then it is answered with 200, and nothing has changed
    When another change under the number of <call> is sent
    Then it is answered with 504, and nothing has changed

    Examples:
      | call             |
      | a whole one      |
      | a change by name |

  Scenario Outline: a Begin that was <held> comes too late to undo an acknowledged Finish
    Given a cohort that takes orders
    When a Begin is <held>, sent again elsewhere, acknowledged and finished, and then let go on
    Then the zone stays free, and an order for it is taken anew

    Examples:
      | held                                       |
      | carried by a daemon that is cut off |
      | confirmed by a daemon that then is cut off |
      | carried by a daemon that freezes    |
      | confirmed by a daemon that then freezes |
      | carried by a leader that is cut off |

  Scenario Outline: the planted fault <plant> lets a Begin that was <held> undo a Finish
    Given the planted fault <plant>
    And a cohort that takes orders
    When a Begin is <held>, sent again elsewhere, acknowledged and finished, and then let go on
    Then the zone does not stay free

    Examples:
      | plant                 | held                                       |
      | late-orders-taken     | confirmed by a daemon that then is cut off |
      | late-orders-taken     | confirmed by a daemon that then freezes    |
      | orders-confirmed-late | carried by a daemon that is cut off        |
      | orders-confirmed-late | carried by a daemon that freezes           |

  Scenario: an order for a zone is acknowledged within a second in calm times
    Given a cohort that takes orders
    When 200 orders are given one after another at daemons of all roles
    Then each was acknowledged within 0.2 seconds

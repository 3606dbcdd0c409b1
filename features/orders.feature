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

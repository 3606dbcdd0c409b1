Feature: Calls
  A call that is carried again, or an act that is told again, takes effect once.

  Scenario Outline: <call> that is asked again <when> takes effect once
    Given control daemons that lead, with routes and a queue configuration in force
    When <call> is asked, and the same call again <when>
    Then both are answered <alike>, and the cluster state stands as after the first

    Examples:
      | call                        | when                  | alike           |
      | a ticket                    | at once               | as taken        |
      | a ticket                    | after the leader fell | as taken        |
      | a change of the setup       | at once               | alike           |
      | a change of the setup       | after the leader fell | alike           |
      | a draft                     | at once               | alike           |
      | a draft                     | after the leader fell | alike           |
      | a minion's draining         | after the leader fell | alike           |
      | a minion's withdrawal       | after the leader fell | alike           |
      | an area's emptying          | after the leader fell | alike           |
      | a job                       | at once               | alike           |
      | a job                       | after the leader fell | alike           |
      | a job's cancel              | at once               | alike           |
      | a job's cancel              | after the leader fell | alike           |
      | a configuration             | at once               | alike           |
      | a configuration             | after the leader fell | alike           |
      | a tenant's job              | at once               | alike           |
      | a tenant's job              | after the leader fell | alike           |
      | a tenant's cancel           | at once               | alike           |
      | a tenant's cancel           | after the leader fell | alike           |
      | a configuration of tenants  | at once               | alike           |
      | a configuration of tenants  | after the leader fell | alike           |
      | named tenants of one        | at once               | alike           |
      | named tenants of one        | after the leader fell | alike           |
      | named items of one          | at once               | alike           |
      | named items of one          | after the leader fell | alike           |
      | an evacuation               | after the leader fell | alike           |
      | a minion's leaving          | at once               | alike           |

  Scenario Outline: <call> that is asked again while the first is agreed on is answered once
    Given control daemons that lead, with routes and a queue configuration in force
    When <call> is asked twice in one moment
    Then it is answered once, and the cluster state holds one of it

    Examples:
      | call                  |
      | a ticket              |
      | a change of the setup |
      | a draft               |
      | a job                 |
      | a tenant's job        |

  Scenario: every call that changes something has a row on its page
    Then docs/design/control/calls.md has one row for each call that is no mere reading

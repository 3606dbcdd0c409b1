Feature: Orders
  An operator's order is taken once, never refused once taken, and never taken anew when it comes late.

  Scenario: random orders are answered as the plain rules say
    Then random orders, sent again and after restarts of the cluster state, are answered as the rules say

  Scenario: random orders at a cluster in trouble keep the rules
    Then random orders at a cluster that loses answers, daemons and disks keep the rules

  Scenario Outline: random orders at a cluster find the injected fault <injected>
    Given the injected fault <injected>
    Then random orders at a cluster do not keep the rules

    Examples:
      | injected               |
      | base-unheeded          |
      | number-is-enough       |
      | taken-not-in-snapshots |
      | late-orders-taken      |

  Scenario Outline: random orders find the injected fault <injected>
    Given the injected fault <injected>
    Then random orders are not answered as the rules say

    Examples:
      | injected                |
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

  Scenario Outline: a Begin that was <held>, <ending>, comes too late to undo an acknowledged Finish
    Given a cluster that takes orders
    When a Begin is <held>, <ending> and finished, and then let go on
    Then the zone stays free, and an order for it is taken anew

    Examples:
      | held                                       | ending                              |
      | carried by a daemon that is cut off        | sent again elsewhere, acknowledged  |
      | confirmed by a daemon that then is cut off | sent again elsewhere, acknowledged  |
      | carried by a daemon that freezes           | sent again elsewhere, acknowledged  |
      | confirmed by a daemon that then freezes    | sent again elsewhere, acknowledged  |
      | carried by a leader that is cut off        | sent again elsewhere, acknowledged  |
      | read 0.8 s late by one that is cut off     | sent again elsewhere, acknowledged  |
      | carried by a daemon that is cut off        | given up                            |
      | confirmed by a daemon that then is cut off | given up                            |
      | kept by the network, its caller gone       | sent again elsewhere, acknowledged  |
      | kept by the network, its caller gone       | given up                            |

  Scenario Outline: the injected fault <injected> lets a Begin that was <held>, <ending>, undo a Finish
    Given the injected fault <injected>
    And a cluster that takes orders
    When a Begin is <held>, <ending> and finished, and then let go on
    Then the zone does not stay free

    Examples:
      | injected               | held                                       | ending                             |
      | late-orders-taken      | confirmed by a daemon that then is cut off | sent again elsewhere, acknowledged |
      | late-orders-taken      | confirmed by a daemon that then freezes    | sent again elsewhere, acknowledged |
      | orders-confirmed-late  | carried by a daemon that is cut off        | sent again elsewhere, acknowledged |
      | orders-confirmed-late  | carried by a daemon that freezes           | sent again elsewhere, acknowledged |
      | pauses-unseen          | read 0.8 s late by one that is cut off     | sent again elsewhere, acknowledged |
      | holding-orders-unnoted | confirmed by a daemon that then is cut off | given up                           |
      | hang-ups-unseen        | kept by the network, its caller gone       | sent again elsewhere, acknowledged |
      | hang-ups-unseen        | kept by the network, its caller gone       | given up                           |

  Scenario: an order for a zone is acknowledged within a second in calm times
    Given a cluster that takes orders
    When 200 orders are given one after another at daemons of all roles
    Then each was acknowledged within 0.2 seconds

  Scenario: after more changes of the queue configuration than are remembered, an old one is not made again
    Given 1200 changes of the queue configuration that build on no version, of one front daemon
    Then the first one sent again is neither made nor refused, also after a restart
    And the newest 1000 sent again are answered as they were
    And a new one of that front daemon, and the first one of another, are made

  Scenario: 1001 front daemons that lived make no record of changes grow
    Given 3 changes of the queue configuration of each of 1400 front daemons
    Then no more than 1000 outcomes and 1000 front daemons are remembered

  Scenario Outline: after more changes than are remembered, an old one <that> is refused
    Given 1100 changes were taken, one upon the other, a whole one among the first
    When an old one <that> is sent
    Then it is answered with <status>, and nothing has changed

    Examples:
      | that                                   | status |
      | to a service that there is not         | 400    |
      | under a number below that it builds on | 412    |
      | under a number below 0                 | 412    |

  Scenario Outline: a configuration whose body has <size> is <fate>
    Given a cluster that takes orders
    When a configuration whose body has <size> comes to a control port
    Then it is <fate> everywhere

    Examples:
      | size                         | fate      |
      | 262144 bytes                 | taken     |
      | as many bytes as are allowed | taken     |
      | one byte more than allowed   | not taken |

  Scenario: while a member knows level 2 only, orders for zones are taken as before
    Given a cluster that takes orders, one member of which knows level 2
    When an evacuation is begun and finished
    Then both were agreed on as level 2 knows them, and neither bears an index
    When that member knows level 3
    And an evacuation is begun and finished
    Then the newest order of the zone is remembered by every member

  Scenario: orders for ever new zones are bounded, and a late one for a forgotten zone is not taken
    Given a record of orders for zones
    When the evacuations of 3000 zones are begun and finished
    Then the orders of no more than 2000 zones are remembered
    And a late Begin for the first zone is superseded, a late Finish acknowledged, a new Begin taken
    When the evacuations of 1000 zones more are begun
    Then one more is told that too many are evacuated, and a Finish is taken

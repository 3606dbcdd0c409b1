Feature: Configuration
  Routes and services come into force whole and in one order, or not at all.

  Scenario: the first configuration comes into force on top of none
    Given no configuration is in force
    Then reading the configuration gives 503
    And no route is found for host a.example and path /orders/1
    When version 5 is sent on top of 0
    Then the configuration is answered with 200
    And version 5 is in force as it was sent

  Scenario Outline: a configuration with <fault> is refused and changes nothing
    Given version 5 is in force with routes and services
    When version 7 is sent on top of 5 with <fault>
    Then the configuration is answered with 400
    And all is as it was before

    Examples:
      | fault                                              |
      | no version                                         |
      | a version that is a text                           |
      | a version that is true                             |
      | a version that is a fraction                       |
      | no routes                                          |
      | routes that are no list                            |
      | a route that is no object                          |
      | a route without a name                             |
      | a route without a host                             |
      | a route without a prefix                           |
      | a route without a service                          |
      | a prefix that does not begin with a slash          |
      | a time-out that is a text                          |
      | attempts that are a text                           |
      | no services                                        |
      | a service without a name                           |
      | a service that is named twice                      |
      | a route that is named twice                        |
      | a route to an unknown service                      |
      | two routes of one host and prefix                  |
      | two routes of one host, written otherwise          |
      | a time-out of 0                                    |
      | the version in force                               |
      | a version below the one in force                   |

  Scenario Outline: a change <fault> is refused and changes nothing
    Given version 5 is in force with routes and services
    When a change to version 7 on top of 5 is sent <fault>
    Then the configuration is answered with 400
    And all is as it was before

    Examples:
      | fault                                          |
      | to the version in force                        |
      | that removes a service in use                  |
      | that adds a route to an unknown service        |
      | that adds a route where one is already         |
      | that adds a route without a prefix             |
      | that adds an item without a name               |
      | that adds an item twice                        |
      | that adds what is no list                      |
      | that removes what is no list                   |
      | that sets a time-out of 0                      |
      | that adds items to what is no list             |
      | that adds items to a list of numbers           |
      | that removes items from a list of numbers      |

  Scenario Outline: a configuration in which <fault> is refused by both calls, tells no key and changes nothing
    Given version 5 is in force with tenants
    When the operator replaces version 5 by 7, in which <fault>
    Then the configuration is answered with 400
    And no key is told, and all is as it was before
    When the operator changes version 5 to 7, in which <fault>
    Then the configuration is answered with 400
    And no key is told, and all is as it was before

    Examples:
      | fault                                      |
      | two tenants share a key                    |
      | two tenants share a key among others       |
      | three tenants share a key                  |
      | a tenant is named twice                    |
      | a tenant is named twice, with the same key |
      | a tenant has no name                       |
      | a tenant's name is empty                   |
      | a tenant has no list of keys               |
      | a tenant is a text                         |
      | the tenants are an object                  |
      | the keys are a text                        |
      | a key is empty                             |
      | a key is a number                          |
      | a key is longer than any may be            |
      | a weight is a text                         |
      | a weight is below 0                        |
      | a maximum is a list                        |
      | a maximum holds a text                     |
      | a maximum is below 0                       |

  Scenario Outline: a route that is public <fault> is refused by both calls and changes nothing
    Given version 5 is in force with tenants
    When the operator replaces version 5 by 7, with a route public <fault>
    Then the configuration is answered with 400
    And no key is told, and all is as it was before
    When the operator changes version 5 to 7, with a route public <fault>
    Then the configuration is answered with 400
    And no key is told, and all is as it was before

    Examples:
      | fault       |
      | as a text   |
      | as a number |
      | as null     |

  Scenario Outline: a configuration in which <form> is taken by both calls and read back as it was sent
    Given version 5 is in force with tenants
    When the operator replaces version 5 by 7, in which <form>
    Then the configuration is answered with 200
    And it is read back as it was sent, also from an image
    And <told>
    When the operator replaces version 7 by 9, which is version 5 but for its number
    And the operator changes version 9 to 11, in which <form>
    Then the configuration is answered with 200
    And <told>

    Examples:
      | form                                | told                                              |
      | a tenant lists a key twice          | that key is tenant c's                            |
      | a tenant has an empty list of keys  | tenant c has no key, and keys are asked for       |
      | a tenant has no maximum             | tenant c is not limited                           |
      | a maximum is null                   | tenant c is not limited                           |
      | a maximum is empty                  | tenant c is not limited                           |
      | a maximum is 0 throughout           | tenant c is not limited                           |
      | a maximum is 0 but for memory       | tenant c is limited in memory alone               |
      | a tenant has members nobody knows   | that key is tenant c's                            |

  Scenario: keys go from one tenant to another in one change, and stay where only one end is told
    Given version 5 is in force with tenants
    When the operator changes version 5 to 7, which gives a key of a to b and leaves it to a
    Then the configuration is answered with 400
    And no key is told, and all is as it was before
    When the operator changes version 5 to 7, which gives a key of a to b and takes it from a
    Then the configuration is answered with 200
    And the first key of a is tenant b's
    When the operator changes version 7 to 9, which takes out b
    Then the configuration is answered with 200
    And the first key of a is nobody's
    When the operator changes version 9 to 11, which takes out every tenant
    Then the configuration is answered with 200
    And no key is anybody's, and keys are asked for

  Scenario Outline: a configuration taken before keys were checked, its tenants <form>, asks for none and can be changed
    Given a cluster state with a configuration of an earlier version, its tenants <form>
    Then it is read back as it was sent, also from an image
    And no key is anybody's, and none is asked for
    When a change to version 7 on top of 5 is sent that adds a route
    Then the configuration is answered with 200
    And path /fresh/1 of host a.example leads to route fresh and 1
    And no key is anybody's, and none is asked for
    When the operator changes version 7 to 9, in which a tenant has no maximum
    Then the configuration is answered with 400
    When the operator replaces version 7 by 9, which is version 5 but for its number
    Then each key is that of its tenant

    Examples:
      | form                                  |
      | with their keys under another name    |
      | as an object                          |
      | as numbers                            |
      | with keys that are numbers            |
      | without names                         |
      | with a maximum that is a text         |
      | with a weight that is a text          |

  Scenario: a configuration taken before keys were checked, in which two tenants share a key, is not kept by a change
    Given a cluster state with a configuration of an earlier version, its tenants sharing a key
    Then it is read back as it was sent, also from an image
    When a change to version 7 on top of 5 is sent that adds a route
    Then the configuration is answered with 400

  Scenario: a change before any configuration is refused
    Given no configuration is in force
    When a change to version 7 on top of 0 is sent that adds a route
    Then the configuration is answered with 400
    And reading the configuration gives 503

  Scenario: a change puts in, replaces and takes out items by name
    Given version 5 is in force with routes and services
    When a change to version 8 on top of 5 is sent that adds a route
    Then the configuration is answered with 200
    And path /fresh/1 of host a.example leads to route fresh and 1
    And path /orders/1 of host a.example leads to route orders and 1
    When a change to version 9 on top of 8 is sent that replaces a route
    Then the configuration is answered with 200
    And path /fresh/1 of host a.example leads nowhere
    And path /fresher/1 of host a.example leads to route fresh and 1
    When a change to version 12 on top of 9 is sent that removes a route
    Then the configuration is answered with 200
    And path /fresher/1 of host a.example leads nowhere
    And what is read back is what version 5 held, under version 12

  Scenario Outline: <call> sent again is answered alike, also after a newer version
    Given version 5 is in force with routes and services
    When <call> is sent on top of 5 as version 7
    Then the configuration is answered with 200
    When the very same is sent again
    Then the configuration is answered with 200
    When version 9 is sent on top of 7
    And the very same is sent again
    Then the configuration is answered with 200
    And the answer names version 7
    And version 9 is in force as it was sent

    Examples:
      | call                |
      | a whole one         |
      | a change by name    |

  Scenario: another body under a version that is taken is not that call
    Given version 5 is in force with routes and services
    When a whole one is sent on top of 5 as version 7
    And a whole one with another route is sent on top of 5 as version 7
    Then the configuration is answered with 412

  Scenario Outline: <call> on top of a version that is not in force is stale
    Given version 5 is in force with routes and services
    When <call> is sent on top of <base> as version 9
    Then the configuration is answered with 412
    And the answer names version 5
    And all is as it was before

    Examples:
      | call             | base |
      | a whole one      | 4    |
      | a whole one      | 0    |
      | a whole one      | 6    |
      | a change by name | 4    |
      | a change by name | 6    |

  Scenario Outline: of two on top of one version just one wins, with <first> first
    Given version 5 is in force with routes and services
    When <first> is sent on top of 5 as version 7
    Then the configuration is answered with 200
    When <second> with another route is sent on top of 5 as version 8
    Then the configuration is answered with 412
    And version 7 is in force as it was sent

    Examples:
      | first            | second           |
      | a whole one      | a whole one      |
      | a whole one      | a change by name |
      | a change by name | a whole one      |
      | a change by name | a change by name |

  Scenario: a call that lost stays lost when it is sent again
    Given version 5 is in force with routes and services
    When a whole one is sent on top of 5 as version 7
    And a whole one with another route is sent on top of 5 as version 8
    And the very same is sent again
    Then the configuration is answered with 412
    And version 7 is in force as it was sent

  Scenario Outline: path <path> of host <host> leads to <route> and <rest>
    Given version 5 is in force with routes and services
    Then path <path> of host <host> leads to route <route> and <rest>

    Examples:
      | host      | path              | route  | rest       |
      | a.example | /orders/1f        | orders | 1f         |
      | a.example | /orders/          | orders | nothing    |
      | a.example | /orders/big/1f    | big    | 1f         |
      | a.example | /orders/bigger/1f | orders | bigger/1f  |
      | A.Example | /orders/1f        | orders | 1f         |
      | b.example | /orders/1f        | other  | 1f         |
      | b.example | /orders/big/1f    | other  | big/1f     |

  Scenario Outline: path <path> of host <host> leads nowhere
    Given version 5 is in force with routes and services
    Then path <path> of host <host> leads nowhere

    Examples:
      | host           | path       |
      | a.example      | /order     |
      | a.example      | /          |
      | a.example      | /Orders/1f |
      | c.example      | /orders/1f |
      | sub.a.example  | /orders/1f |

  Scenario: a thousand routes come into force, are all found, and are changed one by one
    Given version 5 is in force with routes and services
    When version 7 with 1000 routes is sent on top of 5
    Then the configuration is answered with 200
    And each of the 1000 routes is found by its host and prefix
    When a change to version 8 on top of 7 takes out route 500 and moves route 501
    Then the configuration is answered with 200
    And each of the 1000 routes but those two is found by its host and prefix
    And version 8 is read back from an image of the cluster state as it was

  # guards against a leader that spends its processor time on the routes of a large configuration
  Scenario: a route is found among 1000 routes as fast as among 10
    Given configurations with 10 and with 1000 routes of one host
    Then the last of them is found in the second with at most 1.5 times the instructions of the first

Feature: Keys of tenants
  A call at a queue passes only with a key of the configuration in force: from the first call after the
  acknowledgement of a change on, at every front daemon. Requests are bytes at the platform's ports, answered by
  simulated front and control daemons.

  Scenario: before any configuration every call is answered 503, with and without a key
    Given a fleet without a configuration
    Then every call at a queue is answered 503 with Retry-After, whatever its key
    And the platform's readiness is answered 503

  Scenario Outline: a call with <key> is answered <status> at every front daemon
    Given a fleet with tenants, a job of tenant a and one of tenant b
    Then every call about the job of a with <key> is answered <status>, for good
    And the job of a is as it was

    Examples:
      | key                                       | status |
      | no key                                    | 401    |
      | an empty key                              | 401    |
      | a key that no configuration ever held     | 401    |
      | a's key in capital letters                | 401    |
      | a's key cut short                         | 401    |
      | a's two keys at once                      | 401    |
      | a's name                                  | 401    |
      | b's key                                   | 403    |

  Scenario Outline: a key in the header <header> is known
    Given a fleet with tenants, a job of tenant a and one of tenant b
    Then a's key in the header <header> hands a job in, shows it and cancels it

    Examples:
      | header  |
      | Api-Key |
      | api-key |
      | API-KEY |
      | aPI-kEY |

  Scenario Outline: a call at a route that is not there is answered 404 with <key>
    Given a fleet with tenants, a job of tenant a and one of tenant b
    Then every call at a route that is not there with <key> is answered 404, for good

    Examples:
      | key                                       |
      | no key                                    |
      | a key that no configuration ever held     |
      | a's first key                             |

  Scenario Outline: a key that was <change> by <call> is in force with the very next call
    Given a fleet with tenants, a job of tenant a and one of tenant b
    When a key is <change> by <call>
    Then the very next call with it at each front daemon is answered as <tenant>'s
    And the configuration is read back byte for byte as it stands

    Examples:
      | change                     | call        | tenant |
      | taken away from a          | a whole one | nobody |
      | taken away from a          | a change    | nobody |
      | added to a                 | a whole one | a      |
      | added to a                 | a change    | a      |
      | moved from a to b          | a whole one | b      |
      | moved from a to b          | a change    | b      |
      | taken away with its tenant | a whole one | nobody |
      | taken away with its tenant | a change    | nobody |

  Scenario: keys that change again and again, the leader lost between, are never accepted or refused late
    Given a fleet with tenants, a job of tenant a and one of tenant b
    When 40 changes of keys of seed 5 are made, the leader lost after each tenth
    Then each call after an acknowledgement was answered by the keys of that version

  Scenario Outline: a route that was <change> by <call> is served with the very next call
    Given a fleet with tenants, a job of tenant a and one of tenant b
    When a route is <change> by <call>
    Then the very next calls at that route are answered <no key> without a key, <unknown key> with an unknown one and <own key> with a's

    Examples:
      | change                | call        | no key | unknown key | own key |
      | added                 | a whole one | 401    | 401         | 200     |
      | added                 | a change    | 401    | 401         | 200     |
      | added as public       | a whole one | 200    | 200         | 200     |
      | added as public       | a change    | 200    | 200         | 200     |
      | made public           | a whole one | 200    | 200         | 200     |
      | made public           | a change    | 200    | 200         | 200     |
      | made public, and back | a whole one | 401    | 401         | 200     |
      | made public, and back | a change    | 401    | 401         | 200     |
      | taken out             | a whole one | 404    | 404         | 404     |
      | taken out             | a change    | 404    | 404         | 404     |

  Scenario: a job stays readable by all once its route is public, and at that route alone
    Given a fleet with tenants, a job of tenant a and one of tenant b
    When a public route beside that of the job of a is added
    Then the job of a is answered 403 at the public route without a key and with b's
    When the route of the job of a is made public
    Then the job of a is answered 200 at its own route without a key and with b's
    And the job of a is answered 403 at the public route without a key and with b's

  Scenario Outline: a configuration in which two tenants share a key is refused by <call>, and the one before stays in force
    Given a fleet with tenants, a job of tenant a and one of tenant b
    When a configuration in which two tenants share a key is sent by <call>
    Then the operator is answered 400, with faults that name the tenants and no key
    And the configuration is read back byte for byte as it stands
    And each tenant's keys are answered as before

    Examples:
      | call        |
      | a whole one |
      | a change    |

  Scenario Outline: whatever tenants a configuration names is read back byte for byte, seed <seed>
    Given a fleet with tenants, a job of tenant a and one of tenant b
    When 30 random configurations of seed <seed> are sent, whole ones and changes
    Then each that was taken was read back byte for byte as JSON, and most were taken

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: no key is told to anyone but the operator who reads the configuration
    Given a fleet with tenants, a job of tenant a and one of tenant b
    When calls of every kind are made, some of them refused or under the token of another
    Then no key stands in an event, in an answer, in the metrics, in a request key or in an update
    And events 145 and 146 were told, and a hundred answers were looked through

Feature: Crowds
  Clients that do not behave neither end a process nor make it hang: it stays within its settings' limits and serves.

  # One crowd at a time, each against a deployment of its own with little memory and few descriptors.
  Scenario Outline: <what> come to the <port> port of the <role> daemon
    Given three control daemons and a front daemon with lowered limits
    When a crowd comes to the <port> port of the <role> daemon with <what>
    Then the process lives, within the memory and descriptors of its settings
    And an ordinary request is answered beside the crowd, and another one after it

    Examples: bodies that never end
      | role    | port      | what                                           |
      | front   | front     | bodies that stop short of their announced end  |
      | front   | readiness | bodies that stop short of their announced end  |
      | front   | product   | bodies that stop short of their announced end  |
      | control | control   | bodies that stop short of their announced end  |
      | control | product   | bodies that stop short of their announced end  |
      | front   | front     | such bodies with GET                           |
      | control | control   | such bodies with GET                           |
      | front   | front     | bodies of an allowed size that stop short      |
      | control | control   | bodies of an allowed size that stop short      |
      | control | control   | thousands of such bodies of an allowed size    |
      | front   | front     | bodies announced without bound                 |
      | control | control   | bodies announced without bound                 |

    Examples: whole bodies
      | role    | port    | what                                                 |
      | front   | front   | whole bodies of one long text                        |
      | front   | product | whole bodies of one long text                        |
      | control | control | whole bodies of one long text                        |
      | front   | front   | whole bodies of many small values                    |
      | control | control | whole bodies of many small values                    |
      | front   | front   | whole bodies of an allowed size of many small values |
      | control | control | whole bodies of an allowed size of many small values |
      | front   | front   | bodies in very many chunks                           |
      | control | control | bodies in very many chunks                           |

    Examples: connections and answers
      | role    | port      | what                                |
      | front   | front     | connections that say nothing        |
      | front   | readiness | connections that say nothing        |
      | front   | frames    | connections that say nothing        |
      | control | control   | connections that say nothing        |
      | control | frames    | connections that say nothing        |
      | control | control   | requests whose answers nobody reads |
      | control | product   | requests whose answers nobody reads |
      | front   | front     | requests whose answers nobody reads |
      | front   | readiness | requests whose answers nobody reads |
      | front   | product   | requests whose answers nobody reads |

    # Guards against: callers that ask without a pause keep all others, and the leader's heartbeats, waiting.
    Examples: requests inside the limits, as many as are taken
      | role    | port      | what                           |
      | front   | front     | valid requests without a pause |
      | front   | front     | valid jobs without a pause     |
      | front   | readiness | valid requests without a pause |
      | front   | product   | valid requests without a pause |
      | control | control   | valid requests without a pause |
      | control | product   | valid requests without a pause |

    Examples: strangers on the port between daemons
      | role    | port   | what                                          |
      | front   | frames | frames that stop short of their announced end |
      | control | frames | frames that stop short of their announced end |
      | front   | frames | frames like ours that stop short              |
      | control | frames | frames like ours that stop short              |
      | front   | frames | whole frames of many small values             |
      | control | frames | whole frames of many small values             |

  # Guards against: the limits of the configuration are kept and in force nowhere.
  Scenario: a body over the configuration's limit is refused by its head
    Given three control daemons and a front daemon with lowered limits
    When a client of the front daemon announces one byte more than the configuration allows, and sends none of it
    Then the answer has the status 413

  Scenario: the largest job that the configuration allows is served in calm
    Given three control daemons and a front daemon with lowered limits
    When a client of the front daemon submits a job of exactly the largest size
    Then the answer has the status 200

  Scenario: the largest configuration is taken in calm
    Given three control daemons and a front daemon with the limits of an ordinary machine
    When the operator replaces the configuration by one of the largest size
    Then the answer has the status 200

  # Guards against: the bound on what callers hold refuses the operator's largest configuration while others fill it.
  Scenario Outline: the largest configuration gets in beside <what>
    Given three control daemons and a front daemon with the limits of an ordinary machine
    When the operator replaces the configuration by one of the largest size beside <what>
    Then the answer has the status 200

    Examples:
      | what                                          |
      | bodies that stop short of their announced end |
      | connections that say nothing                  |
      | valid requests without a pause                |

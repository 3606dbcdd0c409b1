Feature: Adapters
  What the platform says reaches the product whole, and comes back in the platform's words; what can't be read is refused.

  # --- words ---------------------------------------------------------------------------
  Scenario: the platform's example of a job is read in the product's words
    When the platform's example of a job comes to a front
    Then it is a job for host nony24.example at /lohu930/5c0e7a21d94b36f8 that the product takes
    And its steps are as the platform told them

  Scenario: the platform's example of a configuration is taken, changed and read back whole
    Given a cluster state for calls of the platform
    When the platform's example of a configuration comes to a control port on top of 0
    Then the platform is answered 200 with configVersion 7
    And reading it back gives what was sent
    When the platform's example of a change comes to a control port on top of 7
    Then the platform is answered 200 with configVersion 9
    And reading it back gives the routes in order, those changed among them
    When the platform's example of a configuration comes to a control port on top of 0
    Then the platform is answered 200 with configVersion 7

  Scenario Outline: a configuration with <member> is read back as it was sent
    Given a cluster state for calls of the platform
    When the platform's example of a configuration with <member> comes to a control port on top of 0
    Then the platform is answered 200 with configVersion 7
    And reading it back gives what was sent

    Examples:
      | member                                       |
      | members that nobody knows                    |
      | a member named error                         |
      | members in the product's words               |
      | members that begin with the mark             |
      | members of routes in the product's words     |
      | limits in the product's words                |
      | a version among its limits                   |
      | numbers of every kind                        |
      | text of every kind                           |

  Scenario Outline: renaming there and back loses nothing, seed <seed>
    Then 500 random values of seed <seed> come back as they were from either set of words

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # --- bodies --------------------------------------------------------------------------
  Scenario Outline: a <kind> whose body <fault> is refused
    When a <kind> comes whose body <fault>
    Then the platform is refused with 400 and told why

    Examples: jobs
      | kind          | fault                     |
      | job           | is empty                  |
      | job           | is cut short              |
      | job           | is no JSON                |
      | job           | is a list                 |
      | job           | is a number               |
      | job           | is not UTF-8              |
      | job           | holds a member twice      |
      | job           | holds an inner member twice |
      | job           | holds NaN                 |
      | job           | holds Infinity            |
      | job           | holds a number of 5000 digits |
      | job           | is nested 500 deep        |
      | job           | is nested 900 deep        |
      | job           | is nested 100000 deep     |

    Examples: configurations
      | kind          | fault                     |
      | configuration | is empty                  |
      | configuration | is cut short              |
      | configuration | is a list                 |
      | configuration | is not UTF-8              |
      | configuration | holds a member twice      |
      | configuration | holds an inner member twice |
      | configuration | holds NaN                 |
      | configuration | is nested 500 deep        |
      | configuration | is nested 100000 deep     |

    Examples: changes and heartbeats
      | kind          | fault                     |
      | change        | is cut short              |
      | change        | holds an inner member twice |
      | change        | is nested 500 deep        |
      | beat          | is empty                  |
      | beat          | is cut short              |
      | beat          | holds a member twice      |
      | beat          | holds NaN                 |
      | beat          | is nested 100000 deep     |

  Scenario Outline: a <kind> whose body <oddity> is refused, or can be handed on and, if a configuration, written back
    When a <kind> comes whose body <oddity>
    Then it is refused, or fits into a frame and, if a configuration, into JSON

    Examples:
      | kind          | oddity                        |
      | job           | is nested 200 deep            |
      | job           | holds half a character        |
      | job           | holds a number beyond any     |
      | job           | holds a number of 1000 digits |
      | configuration | is nested 200 deep            |
      | configuration | holds half a character        |
      | configuration | holds a number beyond any     |
      | configuration | holds a number of 1000 digits |
      | change        | holds half a character        |
      | beat          | is nested 500 deep            |
      | beat          | holds half a character        |
      | beat          | holds a number beyond any     |

  # --- jobs' names, headers, answers ---------------------------------------------------
  Scenario Outline: a job named <name> is <outcome>
    Given a cluster state for calls of the platform, with a configuration in force
    When a job named <name> comes to a front
    Then that name is <outcome>

    Examples:
      | name                | outcome           |
      | 5c0e7a21d94b36f8    | taken             |
      | 0000000000000000    | taken             |
      | 5C0E7A21D94B36F8    | taken             |
      | 5c0e7a21d94b36f     | refused for good  |
      | 5c0e7a21d94b36f80   | refused for good  |
      | 5c0e7a21d94b36g8    | refused for good  |
      | 5c0e7a21d94b36.8    | refused for good  |
      | 5c0e7a21/94b36f8    | refused for good  |
      | 5c0e7a21d94b36%38   | refused for good  |
      | (empty)             | refused for good  |

  Scenario Outline: Host <header> is host <host>
    When a client asks with Host <header>
    Then the product is asked at host <host>

    Examples:
      | header              | host           |
      | nony24.example      | nony24.example |
      | nony24.example:8080 | nony24.example |

  Scenario: what follows a question mark is no part of the path
    When a client asks at /lohu930/5c0e7a21d94b36f8?again=1
    Then the product is asked at path /lohu930/5c0e7a21d94b36f8

  Scenario Outline: X-Deadline-Remaining <header> leaves <seconds> seconds
    When a client asks with X-Deadline-Remaining <header>
    Then the call is carried for <seconds> seconds, or for the longest that any is

    Examples:
      | header    | seconds |
      | 700       | 0.7     |
      | 0         | 0       |
      | 900000    | 900     |
      | (absent)  | 900     |
      | soon      | 900     |
      | -1        | 900     |
      | ²         | 900     |

  Scenario: a deadline of very many digits is no reason to fail
    When a client asks with a deadline of 5000 digits
    Then the call is carried for 900 seconds, or for the longest that any is

  Scenario Outline: a configuration on top of "<header>" is refused
    When the platform's example of a configuration comes to a control port on top of "<header>"
    Then the platform is refused with 400 and told why

    Examples:
      | header   |
      |          |
      | none     |
      | -1       |
      | 1.5      |
      | ²        |

  Scenario Outline: <method> <target> at the <port> port is answered <status>
    When <method> <target> comes to the <port> port
    Then the platform is refused with <status> and told why

    Examples:
      | method | target                     | port      | status |
      | PUT    | /lohu930/5c0e7a21d94b36f8  | front     | 405    |
      | GET    | /api/Configuration.Replace | control   | 404    |
      | PUT    | /api/Configuration.Read    | control   | 405    |
      | POST   | /api/Unheard.Of            | control   | 404    |
      | GET    | /                          | readiness | 404    |
      | POST   | /api/readiness             | readiness | 404    |

  Scenario Outline: a client is told <status> as the product answered, with its headers
    When the product answers a client <status> with an error and Retry-After
    Then the platform is told <status>, why, and the same Retry-After

    Examples:
      | status |
      | 404    |
      | 410    |
      | 429    |
      | 503    |
      | 504    |

  Scenario: an evacuation names its zone and whether it begins
    Then evacuations of nave-norte begin and finish in the product's words

  # --- heartbeats and orders ----------------------------------------------------------------
  Scenario Outline: a heartbeat <form> is read
    When the platform's example of a heartbeat <form> comes to a control port
    Then the product can take the heartbeat
    And what it holds is <told>

    Examples:
      | form                       | told                          |
      | in full                    | all that was said             |
      | without lists              | all that was said             |
      | without labels             | no labels                     |
      | without room               | no room                       |
      | with part of its room      | room for memory alone         |
      | without a clock            | a clock of 0                  |
      | that drains                | when it leaves                |
      | with members nobody knows  | all that was said             |
      | with short lists           | the same lists, filled up     |

  Scenario Outline: a heartbeat <fault> is refused
    When the platform's example of a heartbeat <fault> comes to a control port
    Then the heartbeat is refused with 400, at the adapter or behind it

    Examples:
      | fault                              |
      | without a serviceName              |
      | without an address                 |
      | without a zone                     |
      | without a state                    |
      | without a callSequence             |
      | whose callSequence is a text       |
      | whose clockMs is a text            |
      | whose labels are a number          |
      | whose room is a number             |
      | whose running is a number          |
      | whose running holds a number       |
      | whose running holds an empty entry |
      | whose ends lack a number           |
      | whose ends hold an empty entry     |

  Scenario: orders are told in the platform's words
    When the product answers a heartbeat with orders, the leader being here
    Then the worker is told the same orders, and no other address
    When the product answers a heartbeat with orders, the leader being elsewhere
    Then the worker is told the same orders, and the leader's control address
    When the product answers a heartbeat that changed nothing
    Then the worker is told nothing

  # --- settings ------------------------------------------------------------------------
  Scenario: the settings file is read, and what it holds beyond is ignored
    Given the platform's example of a settings file
    Then its place is read
    When fields nobody knows, empty lines and remarks are added
    Then the same place is read

  Scenario: the settings file is found by its variable
    Given the platform's example of a settings file
    Then the place that the variable names is the same
    And without the variable, or the file, the variable is named

  Scenario Outline: settings with <field> <value> are refused by name
    Given the platform's example of a settings file
    When the setting <field> is <value>
    Then the settings are refused, and just <field> is named

    Examples: what must be there
      | field             | value   |
      | nodeName          | missing |
      | zone              | missing |
      | ipAddress         | missing |
      | internalPortRange | missing |
      | seedAddresses     | missing |

    Examples: what can't be
      | field                     | value             |
      | zone                      | empty             |
      | ipAddress                 | nonsense          |
      | internalPortRange         | 9000              |
      | internalPortRange         | 9000,8000         |
      | internalPortRange         | 0,100             |
      | internalPortRange         | 9000,70000        |
      | seedAddresses             | nonsense          |
      | seedAddresses             | 10.1.0.41:8144,no |
      | listenAddresses.front     | localhost:80      |
      | listenAddresses.readiness | 10.1.0.41         |
      | listenAddresses.control   | 10.1.0.41:0       |
      | firstStart                | perhaps           |
      | bounds.holdMaxMs          | long              |
      | bounds.graceS             | long              |

  Scenario: every fault of a settings file is named, and nothing starts
    Given the platform's example of a settings file
    When the setting nodeName is missing
    And the setting internalPortRange is nonsense
    And the setting bounds.graceS is nonsense
    Then the settings are refused, naming nodeName, internalPortRange and bounds.graceS
    And neither program starts with them, and each says all three

  Scenario: other seeds are told once
    Given the platform's example of a settings file
    When it is watched, and other seeds are written there
    Then they are told once, and settings that can't be read tell none

  Scenario: the folder does not stand in for Python's own module of its name
    Then Python's own platform module is found from the repository, with and without the folder

Feature: Input
  Bad input is refused whole, every fault named by its path, and stops nothing.

  Scenario Outline: settings with <fault>
    When `pinepitch <program>` is started with <fault>
    Then it ends with 2 and names <path>

    Examples:
      | program | fault             | path                          |
      | control | two seeds         | seeds: expected exactly 3     |
      | control | a host name       | address: expected an IP       |
      | control | no data folder    | data: required                |
      | front   | an unknown level  | level:                        |
      | front   | a stray setting   | founders: extra keys          |

  Scenario Outline: a job with <fault>
    When a job with <fault> is checked
    Then the fault at <path> is named

    Examples:
      | fault              | path             |
      | a cycle            | tasks            |
      | an unknown step    | tasks.1.after.0  |
      | a name twice       | tasks.1.name     |
      | a gang in sequence | tasks.1.gang     |
      | negative units     | tasks.0.units    |
      | due before start   | due              |
      | a stray field      | colour           |

  Scenario Outline: a queue configuration with <fault>
    When a queue configuration with <fault> is offered to the cluster state
    Then the fault at <path> is named and the queue configuration in force is unchanged

    Examples:
      | fault                       | path                    |
      | a share over its limit      | queues.default.share    |
      | a negative limit            | queues.default.limit    |
      | an unknown column           | queues.default.colour   |
      | shares over the room        | queues                  |
      | no queue                    | queues                  |
      | a queue with live tickets gone | queues.default       |

  Scenario: any bytes at the wire decoder
    When 20000 seeded frames, whole, cut and bent, are decoded
    Then each is a message or refused, and a newer version is refused

  Scenario: any document at the queue configuration, job and report readers
    When 4000 seeded documents, good ones bent at random, are read
    Then each is taken or refused with paths, and what is taken the cluster state applies

  Scenario: any bytes at the HTTP and wire ports of running daemons
    Given a front daemon and a control daemon of a bootstrapped cluster
    When seeded garbage is sent to each of their ports
    Then both still serve, and oversized or malformed calls get their status

  Scenario Outline: a call with <fault>
    When a front daemon gets a call with <fault>
    Then it is answered with 400 at once and carries nothing

    Examples:
      | fault                        |
      | a body nested 900 deep       |
      | a list nested 100000 deep    |
      | half a character in its work |
      | half a character in a name   |
      | a number beyond floats       |
      | a number of 4000 digits      |
      | a member named twice         |
      | a target that is no path     |

  Scenario Outline: a report that contradicts an earlier one: <how>
    Given a simulated fleet with work on a worker
    When a report of that worker comes with <how>
    Then nothing it ran is taken for ended and the cluster state audits clean

    Examples:
      | how                                        |
      | a new start at another address             |
      | a counter that goes back and an empty list |
      | less room than is reserved                 |

  Scenario: a sender that drips is cut off, a prompt one beside it is served
    Given a server whose requests may take 0.3 seconds
    When one sender drips a byte at a time and another asks at once
    Then the prompt one is read whole and the dripping one gets 408

  Scenario Outline: an order answered with <nonsense>
    When a worker answers an order with <nonsense>
    Then the order's outcome is "unknown" and nothing raises

    Examples:
      | nonsense                   |
      | bytes that are no HTTP     |
      | a head without end         |
      | JSON that is none          |
      | a status of 500            |
      | a redirection              |
      | a connection closed at once |

  # Guards against: one body of an allowed size holds the leader for seconds.
  Scenario Outline: a document whose list of <what> has <items> items is refused by a few of them
    When a <document> whose list of <what> has <items> items is checked
    Then no more than 32 faults are named, and <asked> of its items were looked at

    Examples:
      | document      | what     | items                  | asked         |
      | leased job    | steps    | 50000 valid            | none          |
      | leased job    | steps    | 50000 faulty           | none          |
      | pushed job    | tasks    | 50000 valid            | none          |
      | pushed job    | tasks    | 5000 faulty            | at most 32    |
      | configuration | routes   | 50000 faulty           | at most 32    |
      | configuration | services | 50000 faulty           | at most 32    |

  # Guards against: strangers that fill a daemon's memory with addresses which the check of messages remembers.
  Scenario: addresses in messages take no memory once the messages are checked, however long they are
    When 2000 messages whose addresses have 10000 characters are checked
    Then less than 1 MB more is held than before

Feature: Same bytes
  What daemons write to each other, to their disks and to their callers stays what it was, byte for
  byte, however the code that makes it is named and cut. The golden files under data/golden were made
  by the code before; features/same_bytes/golden.py says how.

  Scenario: every registered kind has an example
    Given the golden files
    Then no registered message, call, operation or way lacks an example
    And every kind of file on disk has an example
    And the metrics of both daemons have an example

  Scenario: what the code makes now is what it made then
    Given the golden files
    When the runs are recorded again
    Then nothing recorded differs from the golden files

  Scenario: what was made then is read, and made again
    Given the golden files
    When all golden bytes are decoded and encoded again
    Then nothing is other than it was

  Scenario: answers, files, images and frames are the same bytes whatever the order of hashes is
    When the runs are recorded by two processes with different orders of hashes
    Then every answer has the same bytes in both
    And so has every file, image, segment, entry and frame
    And the keys of every answer are in order

  Scenario Outline: one altered byte is seen
    Given the golden files
    When one byte of the first <example> is altered
    Then the comparison with the golden files names <section>

    Examples:
      | example             | section    |
      | frame               | frames     |
      | operation           | operations |
      | file                | files      |
      | answer              | answers    |
      | entry of the log    | log        |
      | file of the folder  | folder     |
      | order               | orders     |
      | settings            | settings   |

  Scenario Outline: one altered byte of what is read is seen
    Given the golden files
    When one byte of the first <example> is altered
    Then decoding and encoding again names it, or refuses it

    Examples:
      | example            |
      | file               |
      | entry of the log   |
      | file of the folder |

  Scenario: a kind without an example is seen
    Given the golden files
    When the examples of one message, one operation and one way are left out
    Then each of them is named as lacking

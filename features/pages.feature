Feature: Pages
  What the pages name exists: files, links, commands, events and metrics.

  Scenario: every file and folder that a page names exists
    When all pages are read
    Then every path in them leads to a file or folder
    And every link in them leads to a file

  Scenario: what the architecture names for an engineer on call exists
    When all pages are read
    Then each command that ARCHITECTURE.md names is listed by the command line
    And each event number that its last section names is in the catalogue
    And each metric that it names is among those that the daemons show

  Scenario: a page that names a missing file is found
    When a page that names a missing file is read
    Then that path is told as missing

Feature: Events
  The numbered events, their catalogue and its page agree.

  Scenario: the page lists just what the catalogue lists, and each is told somewhere
    Then docs/events.md has one row for each event, with its level and text
    And each event of the catalogue is told in the code

  Scenario: a log that can't be written stops nothing
    Then telling an event to a log on a full disk returns

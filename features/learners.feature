Feature: Learners
  A newcomer follows the log as a learner until a seat is free for it.

  Scenario: newcomers that were lost before they had a seat keep no later one out
    Given a cluster of three control daemons
    When as many newcomers as may learn at once come one after another and are lost for good
    And one of the three is lost for good and a newcomer comes in its zone
    Then that newcomer has the seat within 10 seconds

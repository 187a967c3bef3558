Feature: P3 A client receives the whole answer to their own request

  Scenario: The end of an answer overtakes its beginning
    Given a status query that its upstream has begun
    When the end of the answer overtakes its beginning
    And the answer begins
    Then the client is told "a whole answer", once

  Scenario: The upstream is lost in the middle of an answer
    Given a status query that its upstream has begun
    When the answer begins
    And the upstream is lost
    Then the client is told "a cut answer", once
    And it was sent to an upstream 1 times

  Scenario: The answer of a lost upstream arrives after the retry
    Given a status query that its upstream has begun
    When the upstream is lost
    And the whole answer of the lost upstream arrives late
    And the sibling answers in full
    Then the client is told "a whole answer", once
    And the answer that the client sees is the sibling's

  Scenario: A client gives up
    Given a status query that its upstream has begun
    When the client gives up
    Then its slot is free at once and the upstream is told to stop

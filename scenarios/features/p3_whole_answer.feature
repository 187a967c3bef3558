Feature: P3 A client receives the whole answer to their own request

  Scenario: The end of an answer overtakes its beginning
    Given a status query that was sent to its upstream
    When the end of the answer overtakes its beginning
    And the answer begins
    Then the client receives "a whole answer" exactly once

  Scenario: The upstream is lost in the middle of an answer
    Given a status query that was sent to its upstream
    When the answer begins
    And the upstream is lost
    Then the client receives "a cut answer" exactly once
    And it was sent to an upstream 1 times

  Scenario: The answer of a lost upstream arrives after the retry
    Given a status query that was sent to its upstream
    When the upstream is lost
    And the whole answer of the lost upstream arrives late
    And the sibling answers in full
    Then the client receives "a whole answer" exactly once
    And the answer that the client sees is the sibling's

  Scenario: A client aborts a request
    Given a status query that was sent to its upstream
    When the client aborts it
    Then its slot is released and its request to the upstream is cancelled

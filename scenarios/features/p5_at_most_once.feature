Feature: P5 A non-idempotent request runs at most once

  Scenario: The upstream is lost in the middle of a lodgement
    Given a lodgement that was sent to its upstream
    When the upstream is lost
    Then the client receives "outcome unknown" exactly once
    And it was sent to an upstream 1 times

  Scenario: Late messages contradict the start of a lodgement
    Given a lodgement that was sent to its upstream
    When a late message reports that no connection was established
    Then the client receives "outcome unknown" exactly once
    And it was sent to an upstream 1 times

  Scenario: An upstream sheds a lodgement
    Given a lodgement that was sent to its upstream
    When the upstream sheds it
    Then the client receives "not run" exactly once
    And it was sent to an upstream 1 times

  Scenario: A message with a lodgement arrives twice
    Given a lodgement that a sibling forwarded to this agent
    When the answer begins
    And the answer ends
    And the same message arrives again
    Then it was sent to an upstream 1 times
    And the client receives "a whole answer" exactly once

  Scenario: A message to a process that has restarted on the same address
    Given a lodgement that a sibling forwarded to this agent
    When the agent is restarted on the same address
    And the same message arrives again
    Then it was sent to an upstream 1 times
    And the client receives "outcome unknown" exactly once

  Scenario: A client repeats a lodgement whose connection ended
    Given a lodgement with an idempotency key that was sent to its upstream
    When the client aborts it and repeats it with the same key
    And the answer begins
    And the answer ends
    Then it was sent to an upstream 1 times
    And the client receives "the stored answer" exactly once

  Scenario: Crashes, partitions that heal, and late, duplicated and lost messages
    Given a fleet with crashes, partitions and duplicated messages, seeds 1 and 2
    When clients send requests for 200 seconds
    Then no non-idempotent request runs twice
    And no client in the fleet receives "not run" for a request that runs

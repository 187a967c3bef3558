Feature: P5 A non-idempotent request runs at most once

  Scenario: The upstream is lost in the middle of a lodgement
    Given a lodgement that its upstream has begun
    When the upstream is lost
    Then the client is told "outcome unknown", once
    And it was sent to an upstream 1 times

  Scenario: Late messages contradict the start of a lodgement
    Given a lodgement that its upstream has begun
    When a late message says that no connection was established
    Then the client is told "outcome unknown", once
    And it was sent to an upstream 1 times

  Scenario: An upstream sheds a lodgement
    Given a lodgement that its upstream has begun
    When the upstream sheds it
    Then the client is told "not run", once
    And it was sent to an upstream 1 times

  Scenario: A message with a lodgement arrives twice
    Given a lodgement that a sibling handed to this agent
    When the answer begins
    And the answer ends
    And the same message arrives again
    Then it was sent to an upstream 1 times
    And the client is told "a whole answer", once

  Scenario: A message to a process that has restarted on the same address
    Given a lodgement that a sibling handed to this agent
    When the agent is restarted on the same address
    And the same message arrives again
    Then it was sent to an upstream 1 times
    And the client is told "outcome unknown", once

  Scenario: A client repeats a lodgement whose connection ended
    Given a lodgement with an idempotency key that its upstream has begun
    When the client gives up and repeats it under the same key
    And the answer begins
    And the answer ends
    Then it was sent to an upstream 1 times
    And the client is told "the stored answer", once

  Scenario: Crashes, partitions that heal, and late, doubled and lost messages
    Given a fleet with crashes, partitions and doubled messages, seeds 1 and 2
    When clients send requests for 200 seconds
    Then no non-idempotent request runs twice
    And no client in the fleet is told "not run" for a request that runs

Feature: P7 A planned stop interrupts no request

  Scenario: A drain lets running and waiting requests end
    Given an upstream with 4 slots
    And an open status board
    And 6 requests of plan "bench"
    When the platform lists the upstream as leaving
    And 60 seconds pass at the upstream
    And 4 running requests are answered
    Then 7 requests have run
    And no running request is interrupted
    And no client receives "not run" for a request that ran
    And every request has been started, refused or expired

  Scenario: A request refused because of a drain is forwarded to a sibling
    Given a lodgement that waits for a slot
    When admission refuses it because its upstream is draining
    And the sibling answers in full
    Then the client receives "a whole answer" exactly once

  Scenario: Clients of a drained upstream are notified to move and no flow is closed
    Given an agent with 205 open flows
    When it drains for 10 seconds
    Then every client has been notified to open a new connection
    And the agent has closed no flow

  Scenario: New connections go from a drained agent to its siblings
    Given an agent with 0 flows and siblings 2 and 3 with 1000 flows each
    When the agent's own upstream starts to drain
    And 100 clients open a connection
    Then none of them stay at the agent

  Scenario: Cold start of the upstream that replaces it
    Given an upstream with 4 slots
    And the upstream has just started
    When 8 requests of plan "bench" arrive
    Then 1 requests are running
    When 30 seconds pass at the upstream
    Then 4 requests are running
    And no running request is interrupted

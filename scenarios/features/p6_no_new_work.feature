Feature: P6 An upstream that is leaving receives no new work after 3 seconds

  Scenario: A VM list with a leaving upstream reaches every process
    Given 60 processes that hold the lists and lose messages, seed 3
    When the platform lists an upstream as leaving in version 2
    And 15 seconds pass for the lists
    Then each change was in force everywhere within 3 seconds

  Scenario: An agent that is about to stop
    Given a fleet that loses and duplicates messages, seed 9
    When an agent announces that it leaves
    And 3 seconds pass in the fleet
    Then every balancer sees the agent as "leaving"

  Scenario: Two changes of the list race with a drain
    Given an open reading stream at agent 3
    When balancer A lists agent 3 as leaving in version 3
    And balancer A lists agent 3 as live in version 2
    And balancer B lists agent 3 as live in version 2
    And balancer B lists agent 3 as leaving in version 3
    And the routing key rotates to number 2 at each balancer
    Then new flows for desk through each balancer reach the agents 1, 2
    And packets of the stream reach agent 3 through each balancer

  Scenario: A sibling that is leaving receives no connection
    Given an agent with 1000 flows and siblings 2 and 3 with 100 flows each
    When sibling 2 is leaving
    And sibling 3 is suspect
    And 100 clients open a connection
    Then all of them stay at the agent

  Scenario: A drained upstream accepts no new work
    Given an upstream with 4 slots
    When the platform lists the upstream as leaving
    And 3 requests of plan "bench" arrive
    And a client requests a connection
    Then 0 requests have run
    And 3 clients receive "not run" for the reason "draining"
    And the connection is refused for the reason "draining"

  Scenario: An upstream that left the list long ago
    Given an open reading stream at agent 3
    When each balancer lists agent 3 as gone in version 2
    Then new flows for desk through each balancer reach the agents 1, 2
    When 700 seconds pass at the balancers
    Then new flows for desk through each balancer reach the agents 1, 2

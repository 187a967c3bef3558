Feature: P1 A reading stream survives any planned change

  Scenario: A drain that two balancers learn of at different times
    Given an open reading stream at agent 3
    When balancer A lists agent 3 as leaving in version 2
    Then packets of the stream reach agent 3 through each balancer
    And new flows for desk through balancer A reach the agents 1, 2
    And new flows for desk through balancer B reach the agents 1, 2, 3

  Scenario: A balancer with an outdated list receives packets of a new upstream's stream
    Given a new balancer B whose list lacks agent 3
    And an open reading stream at agent 3
    Then packets of the stream reach agent 3 through balancer A
    And balancer B drops packets of the stream and sends no reset

  Scenario: A suspicion closes no stream
    Given an open reading stream at agent 3
    When balancer A receives a claim that agent 3 is suspect
    Then packets of the stream reach agent 3 through each balancer

  Scenario: The routing key rotates, at one balancer first
    Given an open reading stream at agent 3
    When the routing key rotates to number 2 at balancer A
    Then packets of the stream reach agent 3 through each balancer

  Scenario: A balancer becomes unresponsive
    Given a stream whose packets came through one balancer
    When that balancer becomes unresponsive and the agent sends a reading each second for 3 s
    Then the readings go through the other balancers

  Scenario: An agent pauses for a short time
    Given a fleet that loses and duplicates messages, seed 6
    When an agent pauses for 2 seconds
    And the agent resumes
    And 5 seconds pass in the fleet
    Then no flow may be reset

  Scenario: An agent resumes after it was marked dead
    Given a fleet that loses and duplicates messages, seed 7
    When an agent pauses for 60 seconds
    And the agent resumes after every balancer marked it dead
    And 5 seconds pass in the fleet
    Then the agent's view expired and was then refreshed
    And no flow may be reset
    And every balancer sees the agent as "live"

  Scenario: An upstream crashes
    Given a fleet that loses and duplicates messages, seed 8
    When an agent crashes
    And 3 seconds pass in the fleet
    Then every balancer sees the agent as "dead"
    And only the flows of the dead agent may be reset

  Scenario: A partition heals
    Given a fleet that loses and duplicates messages, seed 11
    When a partition cuts off two of the five failure domains for 60 seconds
    Then no process on the cut-off side has marked another dead
    When the partition heals
    And 60 seconds pass in the fleet
    Then every process sees every other as live

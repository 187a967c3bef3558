Feature: P2 A packet meant for one service never reaches another service

  Scenario: A packet of a stream arrives at the address of another service
    Given an open reading stream at agent 3
    Then packets of the stream reach agent 3 through each balancer
    And each balancer drops packets of the stream that arrive for the service store

  Scenario: The VM of a stream's agent now serves another service
    Given an open reading stream at agent 3
    When each balancer lists agent 3 under the service store in version 2
    Then each balancer sends the client a stateless reset at once
    And each balancer drops packets of the stream that arrive for the service store
    And new flows for store through each balancer reach the agents 3, 4, 5

  Scenario: A new process at a reused address gets no packet of the old one
    Given an open reading stream at agent 3
    When each balancer receives a record of a new process at the address of agent 3
    Then each balancer sends the client a stateless reset at once

  Scenario: A balancer with an outdated list sends to a reused address
    Given an agent of the service store at an address that the service desk had before
    When a balancer with an outdated list sends it the first packet of a client of desk
    Then the agent drops it without a reply or a new handshake

  Scenario: A packet of another agent's stream
    Given an agent of the service store at an address that the service desk had before
    When a balancer sends it a packet of a stream of another agent
    Then the agent drops it without a reply or a new handshake

  Scenario: A packet of a stream of the previous process
    Given an agent of the service store at an address that the service desk had before
    When a balancer sends it a packet of a stream of the previous process at its address
    Then the agent sends the client a stateless reset at once

Feature: P4 A client is told "not run" only for a request that was not run

  Scenario: Overload and shedding
    Given an upstream with 4 slots
    And 60 requests of plan "bench"
    When the upstream sheds a request for 5 seconds
    And 3 running requests are answered
    And 20 requests of plan "owner" with 2 seconds left arrive
    And 10 seconds pass at the upstream
    And 4 running requests are answered
    And 4 running requests are answered
    Then no client receives "not run" for a request that ran
    And 17 clients receive "not run" for the reason "upstream_shedding"

  Scenario: Overload fills the queue, and the deadlines of the rest pass
    Given an upstream with 4 slots
    And 50 requests of plan "bench" with 1 seconds left
    When 2 seconds pass at the upstream
    Then 14 clients receive "not run" for the reason "queue_full"
    And 32 clients receive "not run" for the reason "deadline_expired"
    And 4 requests have run
    And no client receives "not run" for a request that ran

  Scenario: A false "down" from the health endpoint refuses no request
    Given an upstream with 4 slots
    And 8 requests of plan "bench"
    When 4 running requests are answered
    And the health endpoint reports "down"
    And 4 running requests are answered
    And 4 requests of plan "bench" arrive
    Then 4 requests are running
    And every request has been started, refused or expired
    And no client receives "not run" for a request that ran

  Scenario: A health endpoint that reports "up" does not reopen an upstream that refuses connections
    Given an upstream with 4 slots
    And 1 requests of plan "bench"
    When the upstream refuses the connection
    And the health endpoint reports "up"
    And 40 requests of plan "bench" arrive
    Then 0 requests are running
    And 8 clients receive "not run" for the reason "no_upstream"

  Scenario: A slot that is granted after the deadline starts nothing
    Given a lodgement that waits for a slot
    When its deadline passes and the slot is granted late
    Then the client receives "not run" exactly once
    And it was sent to an upstream 0 times

  Scenario: A refusal by a sibling does not hide an earlier attempt whose upstream was lost
    Given a status query that was sent to its upstream
    When the upstream is lost
    And the sibling refuses it because its queue is full
    Then the client does not receive "not run"

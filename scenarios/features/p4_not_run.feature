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
    Then no client is told that a request was not run which ran
    And 17 clients are told "not run" for the reason "upstream_shedding"

  Scenario: Overload fills the queue, and the deadlines of the rest pass
    Given an upstream with 4 slots
    And 50 requests of plan "bench" with 1 seconds left
    When 2 seconds pass at the upstream
    Then 14 clients are told "not run" for the reason "queue_full"
    And 32 clients are told "not run" for the reason "deadline_expired"
    And 4 requests have run
    And no client is told that a request was not run which ran

  Scenario: A lying health endpoint refuses nobody
    Given an upstream with 4 slots
    And 8 requests of plan "bench"
    When 4 running requests are answered
    And the health endpoint says "down"
    And 4 running requests are answered
    And 4 requests of plan "bench" arrive
    Then 4 requests are running
    And every client of a request has been answered or is served
    And no client is told that a request was not run which ran

  Scenario: A health endpoint that says "up" does not open a dead upstream
    Given an upstream with 4 slots
    And 1 requests of plan "bench"
    When the upstream takes no connection
    And the health endpoint says "up"
    And 40 requests of plan "bench" arrive
    Then 0 requests are running
    And 8 clients are told "not run" for the reason "no_upstream"

  Scenario: A slot that is granted after the deadline starts nothing
    Given a lodgement that waits for a slot
    When its deadline passes and the slot is granted late
    Then the client is told "not run", once
    And it was sent to an upstream 0 times

  Scenario: A refusal by a sibling does not hide a run that was lost
    Given a status query that its upstream has begun
    When the upstream is lost
    And the sibling refuses it because its queue is full
    Then the client is not told "not run"

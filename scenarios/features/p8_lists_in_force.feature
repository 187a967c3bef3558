Feature: P8 An accepted change is in force everywhere within 15 s and never reverts

  Scenario: Changes reach everyone while messages are lost, late and reordered
    Given 60 processes that hold the lists, lose and reorder messages, seed 4
    When operators change the guests list to version 2
    And operators change the guests list to version 3
    And 1 seconds pass for the lists
    And operators change the guests list to version 4
    And 15 seconds pass for the lists
    Then each change was in force everywhere within 15 seconds
    And no process has gone back to an earlier version

  Scenario: The platform falls back to an older version while processes restart
    Given 60 processes that hold the lists, lose and reorder messages, seed 5
    When operators change the guests list to version 2
    And 15 seconds pass for the lists
    And the platform falls back to version 1 of the guests list
    And half of the processes restart
    And 30 seconds pass for the lists
    Then version 2 of the guests list is in force everywhere
    And no process has gone back to an earlier version

  Scenario: The platform is down for five minutes
    Given 60 processes that hold the lists, lose and reorder messages, seed 6
    When the platform goes down
    And 300 seconds pass for the lists
    Then version 1 of the guests list is in force everywhere
    When the platform returns
    And operators change the guests list to version 2
    And 15 seconds pass for the lists
    Then version 2 of the guests list is in force everywhere

  Scenario: A partition heals
    Given 60 processes that hold the lists, lose and reorder messages, seed 7
    When a partition cuts one failure domain off from the platform and the others
    And operators change the guests list to version 2
    And 60 seconds pass for the lists
    And the partition of the lists heals
    And 15 seconds pass for the lists
    Then version 2 of the guests list is in force everywhere
    And no process has gone back to an earlier version

  Scenario: A rollback, a late peer and a version with an error are offered
    Given a process with version 5 of the guests list in force
    When the platform offers version 4
    And a peer offers version 3
    And the platform offers version 6, which has an error
    And the platform offers version 7
    Then the versions in force were 5 then 7

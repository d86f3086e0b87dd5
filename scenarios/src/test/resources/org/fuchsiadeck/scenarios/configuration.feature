Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: Though answers to writes are lost
    Given 3 entry nodes, and registers that take 20 ms for an entry
    When 10 changes are accepted one after the other, while every second answer to a write is lost
    Then it is in force on every live node

  Scenario: Though the platform's service goes down right after acceptance, and nodes are replaced
    Given 3 entry nodes, and registers that take 20 ms for an entry
    When an operator's change is accepted
    And some node has it in force, and the platform's service goes down at once
    Then it is in force on every live node
    When node 1 is killed
    And another node is started
    Then it is in force on every live node
    When node 2 is killed
    And another node is started
    Then it is in force on every live node
    When the platform's service is back
    Then it is still in force after 20 more readings of every node

  Scenario: Though the platform's service loses it
    Given 3 entry nodes, and registers that take 20 ms for an entry
    When an operator's change is accepted
    Then it is in force on every live node
    When the platform's service loses the change
    And another node is started
    Then it is still in force after 20 more readings of every node

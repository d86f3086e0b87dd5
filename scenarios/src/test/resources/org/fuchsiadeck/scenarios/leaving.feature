Feature: A leaving backend server gets no new work

  Scenario: Known by a notice, with the list lagging
    Given 3 entry nodes, and a list of instances that lags by 5000 ms
    When registers-1 is given a notice of 60000 ms
    And all nodes know that registers-1 leaves
    And nothing more is in progress at registers-1
    And 20 more entries go to node 1
    And 20 more entries go to node 2
    And 20 more entries go to node 3
    Then registers-1 has got no new work
    And every entry was accepted

  Scenario: Known by the list, with the notice late
    Given 3 entry nodes, and registers that take 20 ms for an entry
    When notices come too late
    And registers-1 is given a notice of 60000 ms
    And all nodes know that registers-1 leaves
    And nothing more is in progress at registers-1
    And 20 more entries go to node 1
    And 20 more entries go to node 2
    Then registers-1 has got no new work
    And every entry was accepted

  Scenario: Known by its own answers only
    Given 3 entry nodes, and registers that take 20 ms for an entry
    When notices are lost and the list of instances is not renewed
    And registers-1 is given a notice of 60000 ms
    And all nodes have had an answer of registers-1 since
    And nothing more is in progress at registers-1
    And 20 more entries go to node 1
    And 20 more entries go to node 2
    And 20 more entries go to node 3
    Then registers-1 has got no new work
    And every entry was accepted

  Scenario: Known to one node only, by an answer
    Given 3 entry nodes, and registers that take 20 ms for an entry
    When notices are lost and the list of instances is not renewed
    And registers-1 is given a notice of 60000 ms
    And node 1 has had an answer of registers-1 since
    And all nodes know that registers-1 leaves
    And nothing more is in progress at registers-1
    And 20 more entries go to node 2
    Then registers-1 has got no new work
    And every entry was accepted

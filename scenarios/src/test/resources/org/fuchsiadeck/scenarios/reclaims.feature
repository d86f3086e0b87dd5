Feature: An accepted entry survives any announced reclaim

  Scenario: Of a register server
    Given 3 entry nodes, and registers that take 50 ms for an entry
    And the live nodes alone keep the keys
    When teachers begin to send entries to all nodes
    And 20 more entries are accepted
    And registers-1 is given a notice of 1000 ms
    And registers-1 is gone
    And 20 more entries are accepted
    And the teachers stop
    Then no entry ran twice, and every answer is true
    And every entry was accepted

  Scenario: Of an entry node that holds entries
    Given 3 entry nodes, and registers that take 50 ms for an entry
    And the live nodes alone keep the keys
    When teachers begin to send entries to all nodes
    And 20 more entries are accepted
    And node-2 is given a notice of 3000 ms
    Then node 2 ends with exit code 0
    When 20 more entries are accepted
    And the teachers stop
    Then no entry ran twice, and every answer is true

  Scenario: Of a whole zone in one wave
    Given 3 entry nodes, and registers that take 50 ms for an entry
    And the live nodes alone keep the keys
    When teachers begin to send entries to all nodes
    And 20 more entries are accepted
    And the zone salt-lake is reclaimed on 2000 ms of notice, with the entry node 2
    Then node 2 ends with exit code 0
    When registers-2 is gone
    And 20 more entries are accepted
    And the teachers stop
    Then no entry ran twice, and every answer is true

  Scenario: Of an entry node that dies in the middle of it
    Given 3 entry nodes, and registers that take 800 ms for an entry
    And the live nodes alone keep the keys
    When a teacher sends the entry hena to node 2
    And the entry hena is in progress
    And node 2 is asked to stop
    Then node 2 says at once that it is not ready
    When node 2 is killed
    And a teacher sends the entry hena to node 3
    Then the entry hena ran once
    And the last answer to the entry hena says "duplicate"

Feature: A planned stop cuts no request in progress

  Scenario: Of an entry node with notices and entries open
    Given 3 entry nodes, and registers that take 800 ms for an entry
    And the live nodes alone keep the keys
    When headmistresses have begun to read 4 notices through node 1
    And a teacher sends the entry indu to node 1
    And a teacher sends the entry jaya to node 1
    And the entry indu is in progress
    And node 1 is asked to stop
    Then node 1 says at once that it is not ready
    And no notice has ended yet
    And every notice is whole
    And every entry was accepted
    And node 1 ends with exit code 0

  Scenario: Of backend servers on a notice that suffices
    Given 3 entry nodes, and registers that take 800 ms for an entry
    And the live nodes alone keep the keys
    When headmistresses have begun to read 4 notices through node 1
    And a teacher sends the entry kona to node 1
    And a teacher sends the entry lila to node 2
    And the entry kona is in progress
    And the zone howrah is reclaimed on 8000 ms of notice, with the entry node 1
    Then every notice is whole
    And every entry was accepted
    And node 1 ends with exit code 0

  Scenario: Of backend servers on a notice that is too short for the notices
    Given 3 entry nodes, and registers that take 20 ms for an entry
    And the live nodes alone keep the keys
    When headmistresses have begun to read 6 notices through node 3
    And assistant-1 is given a notice of 400 ms
    And assistant-2 is given a notice of 400 ms
    Then every notice is whole

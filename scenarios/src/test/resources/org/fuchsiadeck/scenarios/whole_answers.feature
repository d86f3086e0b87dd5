Feature: Each caller gets the whole answer to its own request

  Scenario: Though answers come late, crossed, twice or cut
    Given 3 entry nodes, and registers that take 5 ms for an entry
    And the live nodes alone keep the keys
    And answers of the registers come late, crossed, twice or cut now and then
    When 12 callers at a time read registers of their own and send entries of their own, 6 times
    Then every caller who read got the whole answer to its own request, or an error
    And no entry ran twice, and every answer is true

  Scenario: Though answers are held and come after their requests were tried elsewhere
    Given 3 entry nodes, and registers that take 5 ms for an entry
    And the live nodes alone keep the keys
    When the answers of registers-1 are held while 20 callers read registers of their own through node 1
    And the held answers of registers-1 come while 20 callers read registers of their own through node 1
    Then every caller who read got the whole answer to its own request

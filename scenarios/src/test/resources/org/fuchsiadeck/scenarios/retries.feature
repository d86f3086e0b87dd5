Feature: A non-idempotent request runs at most once
  A teacher who gets no answer sends the entry again with the same idempotency key, to whichever entry node she reaches.

  Scenario: Again while the first is in progress
    Given 3 entry nodes, and registers that take 800 ms for an entry
    And the live nodes alone keep the keys
    When a teacher sends the entry ana to node 1
    And the entry ana is in progress
    And a teacher sends the entry ana to node 2
    And a teacher sends the entry ana to node 3
    And a teacher sends the entry ana to node 1
    Then the entry ana ran once
    And all answers to the entry ana but one say that it is a duplicate

  Scenario: Again after it was answered, with the platform's service down
    Given 3 entry nodes, and registers that take 20 ms for an entry
    And the live nodes alone keep the keys
    When the platform's service goes down
    And a teacher sends the entry bela to node 1
    And all teachers have their answers
    And a teacher sends the entry bela to node 2
    Then the entry bela ran once
    And the last answer to the entry bela says "already_answered"

  Scenario: Again after the first node was killed in the middle
    Given 3 entry nodes, and registers that take 800 ms for an entry
    And the live nodes alone keep the keys
    When a teacher sends the entry chitra to node 1
    And the entry chitra is in progress
    And node 1 is killed
    And a teacher sends the entry chitra to node 2
    Then the entry chitra ran once
    And the last answer to the entry chitra says "in_progress"

  Scenario: While nodes come and go
    Given 3 entry nodes, and registers that take 20 ms for an entry
    And the live nodes alone keep the keys
    When teachers begin to send entries to all nodes
    And 20 more entries are accepted
    And node 2 is killed
    And another node is started
    And the live nodes alone keep the keys
    And 20 more entries are accepted
    And node 1 is asked to stop
    And 20 more entries are accepted
    And the teachers stop
    Then no entry ran twice, and every answer is true

  Scenario: Between a node that hears nothing of its peers and the others
    Given 3 entry nodes, and registers that take 20 ms for an entry
    And the live nodes alone keep the keys
    When a teacher sends the entry dipa to node 2
    And all teachers have their answers
    And nothing reaches node 1 from its peers
    And a teacher sends the entry dipa to node 1
    And a teacher sends the entry esha to node 1
    Then every answer to the entry esha says that it was not run
    And the last answer to the entry dipa says "not-run"
    When a teacher sends the entry esha to node 2 until it is accepted
    And the nodes reach each other again
    And a teacher sends the entry farah to node 1 until it is accepted
    And a teacher sends the entry esha to node 1
    Then the entry esha ran once
    And the last answer to the entry esha says "already_answered"

  Scenario: While no node reaches another
    Given 3 entry nodes, and registers that take 20 ms for an entry
    And the live nodes alone keep the keys
    When nothing reaches node 1 from its peers
    And nothing reaches node 2 from its peers
    And nothing reaches node 3 from its peers
    And a teacher sends the entry gita to node 1
    And a teacher sends the entry gita to node 2
    And a teacher sends the entry gita to node 3
    Then every answer to the entry gita says that it was not run
    And the entry gita did not run
    When the nodes reach each other again
    And a teacher sends the entry gita to node 1 until it is accepted
    Then the entry gita ran once

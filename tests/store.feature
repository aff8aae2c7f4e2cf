Feature: client of the object store

  Scenario: objects are created, read, changed and watched by version
    Given a store
    Then reads and conditional writes follow the versions
    And a watch gives newer versions only

  Scenario: a write whose response is lost is read back
    Given a store
    When the response of a write is lost after it took effect
    Then the write succeeds and store.read_back is counted

  Scenario: a write that another one overtook is a conflict
    Given a store
    When another client writes and then our write fails
    Then the write conflicts

  Scenario: a write that had no effect is reported as an error
    Given a store
    When a write fails before it took effect
    Then the write is an error and no conflict

  Scenario: clients return one after another when the store recovers
    Given a store
    When 20 clients meet an outage
    Then their next calls are spread and none is made at once

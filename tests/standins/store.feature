Feature: stand-in of the object store

  Scenario: updates are conditional
    Given a stand-in store
    Then objects are created once and updated only from their version

  Scenario: a watch waits for a newer version
    Given a stand-in store
    Then a watch returns the next version, or 304 without one

  Scenario: an outage also ends waiting watches
    Given a stand-in store
    Then a store that goes down answers 503 to new calls and open watches

  Scenario: a response is lost after the write took effect
    Given a stand-in store
    When its next response is lost
    Then the writer sees a broken connection and the object has changed

  Scenario: limits and counts
    Given a stand-in store
    Then an object above 1 MB is refused and calls are counted by kind

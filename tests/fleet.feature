Feature: processes of a scenario

  Scenario: stand-ins run until the fleet is left
    Given a fleet of a small deployment without the product
    Then its servers answer and write journals
    And all its processes have ended after an exception

  Scenario: a child that fails is reported, and the others are ended
    Then a fleet whose engines refuse their options fails and leaves nothing

  Scenario: a child that ignores SIGTERM is killed
    Then stopping names the child that needed SIGKILL

  Scenario: settings fit the programs
    Then the planned settings of all processes are valid and use distinct ports

  Scenario: a planned stop leaves open requests the time to end
    # Stops cut requests of busy fleets after 4 s, less than they may wait.
    Then each process may take longer to stop than a request waits for an owner

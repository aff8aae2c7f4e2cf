Feature: stand-in of a plain service

  Scenario: any method and path is run and journaled
    Given a stand-in service that fails every third request
    Then its receipts tell what it did and its journal has each run

  Scenario: a request whose sender leaves is cancelled
    Given a stand-in service that never finishes
    When a caller leaves the service
    Then the service journal ends with a cancel

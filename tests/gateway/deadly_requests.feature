Feature: requests that crash the servers that run them

  Scenario: a request that crashed three servers is sent to more of them
    Given a fleet on the platform with 4 gateways and 6 plain servers
    When a request that crashes servers comes through all gateways for 9 s
    And 12 callers send requests through all gateways meanwhile
    Then it reached no server later than 3 s after its third crash
    And no other request was denied

Feature: request rate limits that servers state

  Scenario: all gateways together exceed the limit that a server states
    Given a fleet on the platform with 4 gateways
    When app-1 states a limit of 5 a second and app-2 one of 0.5
    And 16 callers send requests through all gateways for 9 s
    Then neither server got more than its limit allows
    And most of what the limits allow was served

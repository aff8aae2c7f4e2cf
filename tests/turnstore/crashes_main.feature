Feature: command that lists and lifts blocks

  Scenario: an operator cannot see or lift the block of a request
    Given a fleet on the platform with 2 gateways and 6 plain servers
    When a request crashes 3 servers through gateway 0
    Then gateways 0 and 1 refuse it with 501 and code 1506
    And the command lists it with 3 crashes
    When the command lifts its block
    Then soon no gateway blocks it

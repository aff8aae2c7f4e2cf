Feature: a gateway that is told to stop several times drains its requests

  # Guards against requests that are cut, as a second signal ends the drain.
  Scenario: a second signal arrives while a request is in flight
    Given a gateway process with 150 MB of memory and 1638 descriptors
    And a request that its server holds
    When the process gets 3 signals to stop, 0.2 s apart
    And the server answers
    Then the request that was held is answered

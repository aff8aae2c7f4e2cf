Feature: faults that other operators reported

  Scenario: a second copy of a refusal is taken for the answer of a later attempt
    Given a fleet on the platform with 1 gateways and 1 plain servers
    When a server refuses an unsafe call and repeats that when its id comes again
    Then the second attempt with that id gets the answer of its run

  Scenario: a head that ends in its middle makes an answer look whole
    Then no prefix of a head completes a framed answer
    And no prefix of a head completes an answer that ends with its connection
    And no prefix of a head completes a stream

  Scenario: a stream without length that ends inside an event looks whole
    Given a fleet on the platform with 1 gateways and 1 plain servers
    When streams without length end after each byte of their events
    Then only those that end between events are whole

  Scenario: a request that comes late in a stop is cut without an answer
    Given a fleet on the platform with 2 gateways and 1 plain servers
    When a call that needs more time than the stop has left comes on an open connection
    Then it is refused as not run and reached no server
    And a call that ends in time is answered in the stop

Feature: a planned stop of the entry process

  Scenario: open requests finish after the view was left
    Given an ingress
    When the process stops while a stream is open
    Then readiness, leaving, listening and the stream end in this order
    And requests on open connections are still answered and close them

  Scenario: a view that cannot be left interrupts no request
    Given an ingress
    When the process stops while a stream is open and the view cannot be left
    Then readiness, leaving, listening and the stream end in this order

  Scenario: a stop ends at its time limit
    Given an ingress
    When the process stops with a stream that never ends
    Then the stop reports what was left open

  Scenario: a request that never ends does not hold the listener open
    Given a listener with a request that never ends
    When the listener is closed
    Then it is closed within 3 seconds and the request was cancelled

  Scenario: a request on an open connection at the end of a stop is answered
    Given a listener whose requests take 1.5 seconds
    When the process stops and a request comes once nothing else is open
    Then the request is answered whole

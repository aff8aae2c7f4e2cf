Feature: fault proxy between two processes

  Scenario Outline: a fault keeps bytes back until it is healed
    Given a proxy in front of a server that echoes
    When <fault> begins on an open connection
    Then <bytes> has arrived and the connection <state>
    And a message passes after the proxy is healed

    Examples:
      | fault                     | bytes            | state        |
      | a cut                     | nothing          | was reset    |
      | a stall                   | nothing          | is open      |
      | a stall of replies        | only the request | is open      |
      | a stall of requests       | nothing          | is open      |
      | a delay                   | the echo         | is open      |

Feature: what was allowed when a request came and is not when it is sent

  Background:
    Given a fleet on the platform

  Scenario: a key is withdrawn while a request waits for the rate
    When the rate is set to 1 a second with a burst of 1
    And a call waits for the rate while its key is withdrawn
    Then it gets 401 and does not run

  Scenario: a key is withdrawn while a stream is open
    When a key is withdrawn while its stream stalls
    Then the stream ends incomplete within the time for withdrawn keys
    And the gateway counts a stream that was cut for its key

  Scenario: a grant of the rate runs out while the process is paused
    When the rate is set to 10 a second with a burst of 6
    And the process is paused for 10 s between a grant and its use
    Then the call gets 429 with a Retry-After and does not run

  Scenario: a server says in an answer that it leaves while the store is away
    When the store refuses everybody
    And server app-1 says in its answers that it leaves
    Then gateway 0 sends app-1 no request after its first answer
    When the store answers again and app-1 starts anew
    Then gateway 0 sends app-1 requests again

  Scenario: a server that leaves refuses a request
    When server app-1 says in its answers that it leaves
    And server app-1 refuses
    Then gateway 0 sends app-1 no request after its first answer

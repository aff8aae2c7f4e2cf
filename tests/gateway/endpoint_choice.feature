Feature: endpoints and refusals under the limits that endpoints state

  Scenario: a server that a stale entry names gets requests beyond its limit
    Given a gateway whose endpoint has no token left
    Then neither an attempt nor a repetition is sent to it
    And the caller gets a refusal with the time until the next token

  Scenario: a request asks for tokens of many endpoints one after the other
    Given a gateway with 50 endpoints that have no token left
    Then a request is refused after it has asked for tokens of 4

  Scenario: starts stay refused while nobody uses the tokens of a limit
    Given a gateway that began 20 programs before a limit of 1 a second
    When it got requests until now
    Then another program is refused
    When it got no request for 6 s
    Then another program begins

  Scenario: refused callers return at once and are refused again
    When 50 starts are refused in one second at a capacity of 5 a second
    Then their delays spread over the next 10 s at 5 a second

Feature: decisions of the gateway

  Scenario: an engine that has read the prompt is preferred until it is full
    Given two engines with 4 slots, of which one has read a prompt of 4000 tokens
    Then a request with that prompt goes to the engine that has read it
    When that engine has 30 requests
    Then a request with that prompt goes to the other engine

  Scenario: a load report counts less the older it is
    Given an endpoint that reported 10 requests while we have 2 there
    Then it is expected to have 10 requests at once and 2 a second later

  Scenario: load reports that cannot be read are passed over
    Then reports "", "1", "a,b,c" and "1;2;3" change nothing

  Scenario: endpoints that failed a moment ago are the last choice
    Given two endpoints of which the idle one failed a moment ago
    Then the other one is chosen, and the idle one once the other was tried

  Scenario: entries that lapse together are kept for two seconds
    Given a directory with 6 endpoints
    When 5 of them vanish at once
    Then 6 endpoints are usable at once and 1 after two seconds

  Scenario: one entry that vanishes is gone at once
    Given a directory with 6 endpoints
    When 1 of them vanish at once
    Then 5 endpoints are usable at once and 5 after two seconds

  Scenario: an entry that vanishes while the store is doubtful may come back
    Given a directory with 6 endpoints
    When 1 of them vanishes while the store is doubtful and comes back
    Then 6 endpoints are usable at once and 6 after two seconds

  Scenario: a server that starts again under its name is another one
    Given a directory with 6 endpoints
    When one of them starts again
    Then what was known of its former start is forgotten

  Scenario: a digit of another script in a header ends the connection
    Then an idle timeout of "²" seconds counts as none, one of "5" as 4.3 s

  Scenario: loads of an old identity stay after its entry lapsed or broke
    Given a directory with 6 endpoints
    When an entry lapses and returns started again, and another is malformed
    Then what was known of both former starts is forgotten

  Scenario: events that are cut anywhere give the same output
    Then a stream cut at each byte gives the same events and output
    And a stream that ends within an event may not end there

  Scenario: responses are told apart by their ids
    Then responses of other requests before and after ours are dropped
    And a late refusal without an id is not taken for the next request's
    And bytes that come while nothing was asked spoil the connection
    And a response without a length ends with its connection
    And bytes that are no response break the connection

  Scenario: budgets count the most of what has not ended
    Then a turn is counted in whole events
    And a settled count goes before a reservation, whatever the order

  Scenario: a chain that is spread over several stores is put together
    Given three stores that hold turns "a c", "b" and "" of the chain a, b, c
    Then fetching c gives the chain c, b, a

  Scenario: a chain with a missing turn is not known, a missing turn does not exist
    Given three stores that hold turns "a c", "" and "" of the chain a, b, c
    Then whether c exists is not known for sure
    And a turn x does not exist

  Scenario: a turn may be with a member that does not answer
    Given three stores that hold turns "", "" and "" of the chain a, b, c
    When the third store does not answer
    Then whether c exists is not known for sure

  Scenario: a turn may be with members that were removed a moment ago
    Given three stores that hold turns "", "" and "" of the chain a, b, c
    When 1 members were removed a moment ago
    Then a turn x does not exist
    When 2 members were removed a moment ago
    Then whether c exists is not known for sure

  Scenario: calls that time out in a short stall do not cut a gateway off
    Given three stores that answered at 10 s and whose calls failed at 10.3 s
    Then most of them count as reached at 10.4 s but not at 11 s
    And not if only one of them ever answered

  Scenario: a route is split by weights
    Then about 9 of 10 requests go to a service with weight 90 of 100
    And the same request goes to the same service each time

  Scenario: headers of callers that are malformed are left out
    Then odd numbers and prompt parts in headers are passed over
    And numbers without end or of other digits raise no error anywhere

  Scenario: a request whose connection was closed meanwhile is not passed on
    Then an ingress with a closed connection asks no other part

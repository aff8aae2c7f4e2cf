Feature: records of requests during which endpoints crashed

  Scenario: two crashes seen by one gateway and two by another count as two
    Given 2 gateways and a turn store that exchange records
    When gateway 0 sees that a request crashes endpoints a and b
    And gateway 1 sees that it crashes endpoints c and d
    Then all of them count 4 crashes and block the request

  Scenario: a crash that several gateways see counts more than once
    Given 2 gateways and a turn store that exchange records
    When gateway 0 sees that a request crashes endpoints a and b
    And gateway 1 sees that it crashes endpoints a and b
    Then all of them count 2 crashes and let the request run

  Scenario: endpoints lost together block a request that ran at all of them
    Given 1 gateway and a turn store that exchange records
    When gateway 0 sees that endpoints a, b and c crash together under a request
    Then all of them count 3 crashes and let the request run

  Scenario: a request that was served as a whole stays suspected
    Given 2 gateways and a turn store that exchange records
    When gateway 0 sees that a request crashes endpoints a and b
    And gateway 1 sees that the request is served
    And gateway 0 sees that it crashes endpoints c and d
    Then all of them count 2 crashes and let the request run

  Scenario: a block never ends, or its end costs three more crashes
    Given 1 gateway and a turn store that exchange records
    When gateway 0 sees that a request crashes endpoints a, b and c
    And 700 s pass
    Then the request may run
    When gateway 0 sees that it crashes endpoint d
    Then the request is blocked

  Scenario: records of many requests take up memory without end
    Given 1 gateway and a turn store that exchange records
    When gateway 0 sees that a request crashes endpoints a, b and c
    And 2000 other requests crash one endpoint each
    Then no more than 500 requests are remembered
    And the request is blocked

  Scenario: the order of messages decides what processes know
    Then tables that merge random records in any order are equal

  Scenario: a turn store forgets the records when all processes end
    Given a turn store that saves a request with 3 crashes
    When it starts again 30 s later
    Then it blocks the request for 570 s more
    When its file is damaged and it starts again
    Then it blocks nothing

  Scenario Outline: requests beside the one that crashes servers are blocked
    Given <gateways> gateways, <endpoints> endpoints and <culprits> culprits
    When 60 programs and the culprits send requests for 40 s with seeds 1 to 8
    Then no request of a program was blocked
    And no culprit came back to more than 3 endpoints 3 s after its third crash

    Examples:
      | gateways | endpoints | culprits |
      | 5        | 6         | 1        |
      | 5        | 6         | 2        |
      | 50       | 20        | 2        |
      | 300      | 60        | 3        |

  Scenario: plain crashes of servers block requests that ran there
    Given 5 gateways, 12 endpoints and 0 culprits
    When an endpoint crashes by itself every second
    And 60 programs and the culprits send requests for 40 s with seeds 1 to 8
    Then no request of a program was blocked

  Scenario: a request blocked for three crashes is released by another one's blame
    Given a request that is blocked for crashes of endpoints a, b and c
    When another one turns out to have run there and at d, which crashed 0.3 s later
    Then the request stays refused, not for good, for 3 s after them
    When it then crashes endpoint e
    Then it is blocked for good

  Scenario: a later crash of another request ends a block
    Given a request that is blocked for crashes of endpoints a, b and c
    When another one that ran at a and b crashes d 0.3 s later
    Then the request stays blocked for good

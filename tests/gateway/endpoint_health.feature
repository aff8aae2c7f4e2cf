Feature: endpoints that fail, hang or turn slow get less work

  Scenario Outline: callers meet few of the faults of some endpoints
    Given 8 endpoints, of which 2 <fault> 45 % of their requests
    When 60 requests a second come for 20 seconds
    Then at most <most> % of the requests meet a fault
    And endpoints that were faulty get work again after 20 seconds

    # Spread evenly, 11 % of the requests would meet a fault.
    Examples:
      | fault | most |
      | fail  | 4    |
      | hang  | 4    |

  Scenario: slow endpoints get less work
    Given 8 endpoints, of which 2 are 6 times as slow
    When 60 requests a second come for 20 seconds
    Then at most 12 % of the requests meet a fault

  Scenario: the checks notice placement that passes over faults
    Given a break: the health of endpoints is passed over
    And 8 endpoints, of which 2 fail 45 % of their requests
    When 60 requests a second come for 20 seconds
    Then more than 8 % of the requests meet a fault

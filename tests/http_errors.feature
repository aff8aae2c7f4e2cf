Feature: HTTP that cannot be read

  Scenario Outline: unreadable requests are counted
    Given a listener of the callers' API
    When the bytes <bytes> arrive
    Then the status is <status> and <count> malformed requests are counted

    Examples:
      | bytes                                     | status | count |
      | GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n    | 200    | 0     |
      | GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n    | 404    | 0     |
      | COOK /healthz HTTP/1.1\r\nHost: a\r\n\r\n   | 400    | 1     |
      | g@rbage\r\n\r\n                           | 400    | 1     |
      | GET /healthz HTTP/1.1\r\nno colon\r\n\r\n   | 400    | 1     |
      | GET /healthz HTTP/9\r\n\r\n               | 400    | 1     |

  Scenario: the checks notice unreadable requests that are not counted
    Given a break: unreadable requests are not counted
    And a listener of the callers' API
    When the bytes g@rbage\r\n\r\n arrive
    Then the status is 400 and 0 malformed requests are counted

  Scenario: no key of an unreadable request reaches a log
    Given a listener of the callers' API
    When 40 requests with a key arrive that cannot be read
    Then 40 malformed requests are counted
    And at most 4 lines are logged, each short and without the key

  Scenario: the checks notice a key in the log
    Given a break: lines about unreadable requests are not shortened
    And a listener of the callers' API
    When 40 requests with a key arrive that cannot be read
    Then the logged lines contain the key

Feature: what gateways know of the limits that endpoints state

  Scenario: a limit that has ended is found out within the limit
    Given a gateway that knows a limit of 5 a second since 10 s
    When a response to a request of 9 s ago states no limit
    Then the limit is still 5 a second
    When a response to a request of 1 s ago states no limit
    Then there is no limit

  Scenario: the older of two statements wins
    Given two gateways and a turn store that exchange limits
    When one hears a limit of 5 and a second later the other hears none
    Then all of them know of no limit, in any order of the messages
    When the first one hears a limit of 3
    Then all of them know a limit of 3, in any order of the messages

  Scenario: a restarted endpoint inherits the limit of its predecessor
    Given a gateway that knows a limit of 5 a second since 10 s
    When the endpoint starts again at its address
    Then the new one has no limit

  Scenario Outline: an unreadable statement is taken for a limit
    Given a gateway that knows a limit of 5 a second since 10 s
    When a response states the limits <texts>
    Then the limit is still 5 a second
    And one warning tells that it cannot be read

    Examples:
      | texts      |
      | many       |
      | -1         |
      | nan        |
      | inf        |
      | 1e3        |
      | 5;6        |
      | ²          |
      | ٣          |
      | 1_0        |
      | 5,5        |
      | 5 and 6    |
      | 9999999999 |
      | ,          |

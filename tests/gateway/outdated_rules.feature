Feature: no request is refused by rules that are out of date

  Background:
    Given a fleet on the platform

  Scenario Outline: a change made while all turn stores are away is in force in time
    When all turn stores stop and the operators then add a <addition>
    And both gateways get requests with it for 6 s
    Then none sent 2 s after the change or later gets <status>

    Examples:
      | addition | status |
      | key      | 401    |
      | route    | 404    |

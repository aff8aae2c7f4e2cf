Feature: candidates among the endpoints

  Scenario Outline: endpoints that must not get work are left out
    Given three endpoints of one service and one of another
    When endpoint s-1 <event>
    Then the candidates are <names>

    Examples:
      | event                      | names       |
      | reports nothing special    | s-1 s-2 s-3 |
      | is leaving                 | s-2 s-3     |
      | is unhealthy               | s-2 s-3     |
      | is drained                 | s-2 s-3     |
      | is silent                  | s-2 s-3     |
      | fails 5 times              | s-2 s-3     |
      | fails 4 times              | s-1 s-2 s-3 |
      | is not in the view         | s-2 s-3     |
      | has another incarnation    | s-2 s-3     |
      | is listed as leaving       | s-2 s-3     |
      | and all others are listed  | s-1 s-2 s-3 |
      | was listed 31 s ago        | s-1 s-2 s-3 |

  Scenario: own requests count until a report includes them
    Given three endpoints of one service and one of another
    Then requests since the report are added to it

  Scenario: ejections last exponentially longer
    Given three endpoints of one service and one of another
    Then the ejections of s-1 last 5, 10, 20 and at most 300 s

  Scenario: a new endpoint starts slowly
    Given three endpoints of one service and one of another
    Then a new endpoint looks loaded until 30 s have passed

  Scenario: endpoints of other services are not looked at
    Given three endpoints of one service and one of another
    Then the state of another service is not touched

  @randomised
  Scenario: loads stay sane in random sequences
    Then no load is negative and no unusable endpoint is a candidate

Feature: announces of endpoints

  Scenario: an endpoint that never announces itself is removed
    Given a load controller with s-1 and s-2 in the view
    When s-1 announces itself every second for 5 s
    Then s-1 is a candidate and nobody is forgotten
    When s-1 announces itself every second for 3 s
    Then s-1 is a candidate and s-2 is forgotten

  Scenario: after a pause of the entry no endpoint is removed at once
    Given a load controller with s-1 and s-2 in the view
    When s-1 announces itself every second for 2 s
    And the process is paused for 60 s
    And s-1 announces itself every second for 2 s
    Then s-1 is a candidate and nobody is forgotten

  Scenario: an endpoint that leaves gets nothing from the same report on
    Given a load controller with s-1 and s-2 in the view
    When s-1 announces that it is leaving
    Then there is no candidate and nothing is added
    When s-2 announces itself every second for 9 s
    Then s-1 is forgotten as one that has left

Feature: exchange of documents with the turn stores

  Scenario: a process that has started soon knows that it reaches the turn stores
    Given 9 turn stores that answer
    When a process exchanges documents with them for 0.1 seconds
    Then it reaches most of them

  Scenario: turn stores that come back are noticed soon
    Given 9 turn stores that refuse connections
    When a process exchanges documents with them for 0.6 seconds
    And they answer for 0.3 seconds
    Then it reaches most of them

  Scenario: a process that reaches most turn stores asks no more than usual
    Given 9 turn stores that answer
    And a process that has their documents and has met them all
    When a process exchanges documents with them for 1 seconds
    Then it has asked at most 36 times

  Scenario: more turn stores are asked less often
    Given 24 turn stores that answer
    And a process that has their documents and has met them all
    When a process exchanges documents with them for 3 seconds
    Then it has asked at most 24 times

Feature: counters

  Scenario: a result code of a newer process stops an older one from counting
    When a refusal with an unknown result code is counted
    Then the counter of internal errors is 1

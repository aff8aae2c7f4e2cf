Feature: few turn stores watch the platform's store

  Scenario: the watchers are few and the same for all
    Given 24 members of the turn store
    Then 3 of them watch, whatever the order in which they are listed
    And one that falls silent or leaves is replaced by one other
    And of 3 members all watch

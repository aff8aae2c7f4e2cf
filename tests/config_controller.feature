Feature: the configuration never reverts

  Scenario: a change reaches all entries in one round
    Given a settled cell
    When an operator applies a change at entry a
    Then all entries have generation 1 after 2 rounds
    And every entry answers an announce with the queue policy first_come

  Scenario: two watchers of each zone hold a watch
    Given a settled cell
    Then no more than two entries of a zone are watchers

  Scenario: a watch that hangs keeps a change from being in force in time
    Then a hanging watch, a new one and the way to all entries take at most 15 s

  Scenario: racing operators get a conflict with the current generation
    Given a settled cell
    When an operator applies a change at entry a
    Then the same change repeated is accepted as generation 1
    And another change to generation 0 conflicts with generation 1

  Scenario: a write whose response is lost is not applied twice
    Given a settled cell
    When the response of a change at entry a is lost
    Then the same change repeated is accepted as generation 1

  Scenario: a restart during a store outage loads the newest copy of a peer
    Given a settled cell
    When an operator applies a change at entry a
    And all entries have heard it and b restarts while the store is down
    Then all entries have generation 1 after 2 rounds

  Scenario Outline: an old or invalid document is not adopted and is counted
    Given a settled cell
    When an operator applies a change at entry a
    And the store holds <body>
    Then generation 1 stays and <counter> is counted

    Examples:
      | body                                                                     | counter                   |
      | {"generation":0,"change_id":"x","author":"","config":{}}                 | config.rejected_older     |
      | {"generation":9,"change_id":"x","author":"","config":{"colour":1}}       | refused.bad_configuration |
      | {"generation":9                                                          | refused.bad_configuration |

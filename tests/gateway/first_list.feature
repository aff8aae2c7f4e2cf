Feature: a gateway is ready only when it can serve programs

  # Guards against first turns that get 503 (1306): the turn stores are reachable
  # as seeds, but have not agreed on a list of members yet.
  Scenario: gateways start before the turn stores have a list of members
    Given a fleet on the platform whose turn stores cannot write their list
    Then no gateway becomes ready within 2 s
    When the turn stores can write their list and the gateways are ready
    And turn a begins with "hello " through gateway 0
    And turn b continues a with "again " through gateway 1
    And turn c continues b with "third" through gateway 0
    Then the model got the prompts and outputs of a and b before "third"

Feature: tokens of the limits that endpoints state

  Scenario Outline: gateways together take more than the limit of an endpoint
    Given 3 turn stores and an endpoint with a limit of <limit> a second
    When <gateways> gateways ask for a token <asks> times a second for 30 s
    And meanwhile <trouble>
    Then no 4 s have more grants than the limit allows
    And the grants use at least <share> percent of the limit

    Examples:
      | limit | gateways | asks | trouble                               | share |
      | 6     | 5        | 10   | nothing happens                       | 90    |
      | 6     | 5        | 10   | each store restarts once              | 70    |
      | 6     | 5        | 10   | the first store stops answering       | 10    |
      | 6     | 5        | 10   | two stores are replaced               | 70    |
      | 0.3   | 300      | 1    | nothing happens                       | 80    |
      | 0.3   | 300      | 1    | each store restarts once              | 60    |
      | 0     | 5        | 2    | nothing happens                       | 0     |
      | 40    | 100      | 2    | half of the gateways know an old limit | 90    |

  Scenario: tokens of a scarce limit go to new work before running programs
    Given 3 turn stores and an endpoint with a limit of 5 a second
    When starts, urgent starts and continuations each ask 5 times a second
    Then continuations get most tokens, then urgent starts, then the others

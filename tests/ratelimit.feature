Feature: strict rate of a workspace shard

  @randomised
  Scenario Outline: no window holds more than the rate allows
    When random requests, changes and takeovers use a bucket with <fault>
    Then the bound is <verdict>

    Examples:
      | fault              | verdict  |
      | no fault           | kept     |
      | tokens by burst    | violated |
      | refill twice       | violated |
      | restore ignores    | violated |

  Scenario: a refused request is admitted after Retry-After
    Then an empty bucket admits exactly after its stated wait

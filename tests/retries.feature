Feature: retry budget

  @randomised
  Scenario Outline: retries stay within the part of the requests
    When random requests and retries use a budget with <fault>
    Then the retries are <verdict>

    Examples:
      | fault    | verdict   |
      | no fault | bounded   |
      | no limit | unbounded |

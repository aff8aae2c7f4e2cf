Feature: cache holds

  @randomised
  Scenario: every hold ends at its deadline or by a release
    Then random sequences find no fault in the cache holds

  @randomised
  Scenario Outline: the check catches a hold that outlives its program
    Then random sequences find cache holds with <fault>

    Examples:
      | fault                        |
      | a deadline that is forgotten |
      | a renewal that is ignored    |

  Scenario: a cache is released at program end, at the deadline and at start
    Given a cache keeper with an engine that fails once
    When the keeper cleans up, a program ends and another pauses for 40 ms
    Then the engine released everything, then both caches, each once

Feature: driving agent programs

  Scenario: programs run against stand-ins without the product
    Given stand-in servers of a small scenario
    When its programs run directly
    Then all programs completed, sub-agents too, and the history check holds

  Scenario: latency counts from the intended start
    Then a program that starts late has the delay in its latency

  Scenario Outline: a failed attempt is repeated as a sensible client would
    Given two fake entries, of which the first <fault>
    When an order is sent to the first
    Then it is answered by the second with the same key after <wait> s

    Examples:
      | fault                         | wait |
      | answers 429 with Retry-After  | 0.2  |
      | answers 503 without a hint    | 0    |
      | breaks the connection         | 0    |
      | answers 409 for a busy program | 0   |

  Scenario Outline: a final answer is not repeated
    Given two fake entries, of which the first <fault>
    When an order is sent to the first
    Then there was one attempt and the program's outcome is <outcome>

    Examples:
      | fault                           | outcome       |
      | says that the outcome is unknown | unknown      |
      | refuses the key                 | key_withdrawn |
      | says that the budget is spent   | refused       |

  Scenario Outline: a stream that breaks off is not taken for an answer
    Given two fake entries, of which the first <fault>
    When a stream is requested from the first
    Then the text is that of the second entry alone

    Examples:
      | fault                           |
      | ends a stream early             |
      | sends an error within a stream  |

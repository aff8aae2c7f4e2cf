Feature: placement policies

  Scenario Outline: affinity keeps the last endpoint within a bounded penalty
    Given endpoints with loads 0.0 0.4 1.5
    Then affinity for <last> with <tokens> prompt tokens chooses <kind>

    Examples: 32,768 tokens are worth one request per slot, and not more
      | last | tokens  | kind    |
      | s-1  | 32768   | last    |
      | s-1  | 1024    | another |
      | s-2  | 1000000 | another |
      | gone | 32768   | another |

  Scenario: least loaded takes the better of two random endpoints
    Given endpoints with loads 0.0 0.4 1.5
    Then least_loaded is repeatable, prefers low loads, and never takes s-2

  Scenario: round robin takes each endpoint in turn
    Given endpoints with loads 0.0 0.4 1.5
    Then round_robin gives s-0 s-1 s-2 s-0, and skips a missing one

  Scenario: without candidates there is no endpoint
    Then every policy gives nothing for no candidates

Feature: placement policies

  Scenario Outline: affinity keeps the last endpoint within a bounded penalty
    Given endpoints with loads <loads>
    Then affinity for <last> with <tokens> prompt tokens chooses <kind>

    Examples: 1,024 tokens are worth one request per slot, at most two
      | loads       | last | tokens  | kind    |
      | 1.0 1.9 3.5 | s-1  | 1024    | last    |
      | 1.0 1.9 3.5 | s-1  | 512     | another |
      | 1.0 1.9 3.5 | s-2  | 1000000 | another |
      | 1.0 1.9 2.9 | s-2  | 1000000 | last    |
      | 1.0 1.9 3.5 | gone | 1024    | another |

    Examples: an endpoint with a free slot keeps its programs
      | loads       | last | tokens  | kind    |
      | 0.0 0.9 1.5 | s-1  | 0       | last    |
      | 0.0 0.9 1.5 | s-2  | 256     | another |
      | 0.0 0.9 1.5 | s-2  | 1024    | last    |

  Scenario: least loaded takes the better of two random endpoints
    Given endpoints with loads 0.0 0.4 1.5
    Then least_loaded is repeatable, prefers low loads, and never takes s-2

  Scenario: round robin takes each endpoint in turn
    Given endpoints with loads 0.0 0.4 1.5
    Then round_robin gives s-0 s-1 s-2 s-0, and skips a missing one

  Scenario: without candidates there is no endpoint
    Then every policy gives nothing for no candidates

Feature: ownership of workspace shards

  @randomised
  Scenario Outline: random crashes, joins and breaks keep the invariants
    When a cell lives through random events with <fault>
    Then the invariants are <verdict>

    Examples:
      | fault            | verdict  |
      | no fault         | kept     |
      | records ignored  | violated |
      | full bucket      | violated |
      | no settle        | violated |

  @randomised
  Scenario Outline: an isolated owner and its successor share the rate
    When <count> isolated owners and their successor admit with <fault>
    Then the invariants are <verdict>

    Examples:
      | count | fault                  | verdict  |
      | 1     | no fault               | kept     |
      | 1     | no half rate           | violated |
      | 2     | no fault               | kept     |
      | 2     | unsealed owners go on  | violated |

  Scenario Outline: a successor seals former members
    When an entry takes over <passed> s after the unreachable p0 was removed
    Then it serves after <wait> s and misses p0 for <left> s more

    Examples:
      | passed | wait | left |
      | 0      | 10   | 3900 |
      | 100    | 0    | 3810 |

  Scenario Outline: a broken run is settled
    Given a running <kind> request
    When its run broke off and the endpoint says <settled>
    Then the owner answers with <answer>

    Examples:
      | kind           | settled  | answer       |
      | non-repeatable | not_run  | a new ticket |
      | non-repeatable | answered | answered     |
      | non-repeatable | running  | running      |
      | non-repeatable | unknown  | unknown      |
      | repeatable     | unknown  | a new ticket |

  Scenario: a ticket that was never sent needs no settlement
    Given a running non-repeatable request
    When its ingress could not reach the endpoint, which is down
    Then the owner answers with a new ticket

  Scenario: the outcome is known after a short break of the network
    Given a running non-repeatable request
    When its run broke off and the endpoint is reached after 3 s
    Then the owner answers with answered

  Scenario: retries end when their budget is empty
    Then repeated breaks end with unknown

  Scenario Outline: the act mode limits what is admitted
    Then in mode <mode> after a <takeover> takeover a <kind> request gets <answer>

    Examples:
      | mode | takeover | kind           | answer        |
      | FULL | complete | non-repeatable | Ticket        |
      | HALF | complete | non-repeatable | NOT_CONFIRMED |
      | HALF | complete | repeatable     | Ticket        |
      | NONE | complete | repeatable     | NOT_CONFIRMED |
      | FULL | unsealed | repeatable     | Ticket        |
      | HALF | unsealed | repeatable     | NOT_CONFIRMED |

  Scenario: an unconfirmed owner with an unsealed takeover retries nothing
    Then a broken run gets no new ticket in mode HALF after an unsealed takeover

  Scenario Outline: the owner checks the key again
    Then a key found in generation <found> is <verdict> if generation 3 of the owner <state>

    Examples:
      | found | state                   | verdict  |
      | 2     | has it                  | admitted |
      | 2     | lacks it                | refused  |
      | 3     | lacks it                | refused  |
      | 4     | lacks it                | admitted |
      | 2     | has it for another user | refused  |

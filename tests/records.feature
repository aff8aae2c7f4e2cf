Feature: records of an endpoint process

  Scenario Outline: a ticket is accepted once, for this incarnation and epoch
    Given a record book that has seen epoch 5
    When number 1 is <earlier>
    Then a run of number 1 with epoch <epoch> for <incarnation> gives <code>

    Examples:
      | earlier   | epoch | incarnation | code             |
      | untouched | 5     | inc-a       | OK               |
      | untouched | 4     | inc-a       | STALE_EPOCH      |
      | untouched | 5     | inc-b       | STALE_TICKET     |
      | accepted  | 5     | inc-a       | DUPLICATE_TICKET |
      | accepted  | 4     | inc-a       | DUPLICATE_TICKET |
      | settled   | 5     | inc-a       | TICKET_VOID      |
      | forgotten | 5     | inc-a       | OUTCOME_UNKNOWN  |

  Scenario Outline: settling tells what is known
    Given a record book that has seen epoch 5
    When number 1 is <earlier>
    Then settling number 1 for <incarnation> gives <outcome>

    Examples:
      | earlier   | incarnation | outcome  |
      | untouched | inc-a       | not_run  |
      | untouched | inc-b       | unknown  |
      | accepted  | inc-a       | running  |
      | answered  | inc-a       | answered |
      | forgotten | inc-a       | unknown  |

  Scenario Outline: an evicted body is reported as such
    Given a record book with room for <room> bytes
    When number 1 is answered with 6 bytes and number 2 with 6 bytes
    Then number 1 has <first> and number 2 has <second>

    Examples:
      | room | first   | second  |
      | 20   | body    | body    |
      | 10   | evicted | body    |
      | 5    | evicted | evicted |

  Scenario: sealing reports the records of the shards that moved
    Given a record book that has seen epoch 5
    When shard 0 and shard 1 have a record and entry-b seals epoch 6
    Then only the record of shard 1 is reported
    And a run of number 9 with epoch 5 for inc-a gives STALE_EPOCH
    And sealing epoch 5 gives STALE_EPOCH

  Scenario: the number of records is bounded
    Given a record book that has seen epoch 5
    When more records complete than the bound
    Then the oldest is settled as unknown and cannot run

  @randomised
  Scenario: long random sequences keep at-most-once
    Then random sequences find no fault in the record book

  @randomised
  Scenario Outline: the check catches a broken record book
    Then random sequences find a record book with <fault>

    Examples:
      | fault                      |
      | no mark of forgotten ones  |
      | no refusal after settling  |
      | no check of the epoch      |
      | bytes that are not counted |

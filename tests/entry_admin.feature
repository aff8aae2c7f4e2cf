Feature: explanations for operators

  Scenario Outline: a program or request is found in any shard
    Given a call in each shard of a workspace
    Then asking for its <name> explains the call and its program

    Examples:
      | name            |
      | program         |
      | request id      |
      | idempotency key |

  Scenario: an unknown request is in no shard
    Given a call in each shard of a workspace
    Then asking for another request explains nothing

  Scenario: the check notices that the index is not searched
    Given a call in each shard of a workspace
    And requests are not indexed
    Then asking for its request id fails the check

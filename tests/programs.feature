Feature: order, budget and identity of calls

  @randomised
  Scenario Outline: random calls keep order, budget and one ticket each
    When random calls of several programs run with <fault>
    Then the ledger is <verdict>

    Examples:
      | fault               | verdict |
      | no fault            | correct |
      | no order            | wrong   |
      | no budget           | wrong   |
      | no parent           | wrong   |
      | unknown not charged | wrong   |
      | no index            | wrong   |

  Scenario Outline: an idempotency key names one request
    Given a finished call with an idempotency key
    When the key comes again with another <field>
    Then the answer is <answer>

    Examples:
      | field           | answer     |
      | request_id      | answered   |
      | program_id      | KEY_REUSED |
      | service_name    | KEY_REUSED |
      | history_digests | KEY_REUSED |

  Scenario Outline: a sub-agent is charged to the root that its id names
    Then calls of <child> without a parent leave root <left> of 15 calls

    Examples:
      | child    | left |
      | root~a   | 12   |
      | root~a~b | 12   |
      | other~a  | 15   |

  Scenario: the check notices a sub-agent with a budget of its own
    Given ids of sub-agents name no root
    Then calls of root~a without a parent leave root 15 of 15 calls

  Scenario: the same request id never gets a second ticket
    Then a repeated request gets the place of the first record

  Scenario: state is bounded and idle programs expire
    Then idle programs, their accounts and old attempts are dropped

  Scenario: a call does not cost more with many programs
    Then a call does as many steps with 20000 programs and shards as with 20

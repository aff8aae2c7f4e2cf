Feature: the callers' API

  Scenario Outline: bad input is refused, counted and disturbs nothing else
    Given an ingress
    When the bad request "<request>" is sent while a stream is open
    Then it is refused with status <status> and code <code> as not run
    And the open stream ends complete

    Examples:
      | request             | status | code |
      | not JSON            | 400    | 1001 |
      | not UTF-8           | 400    | 1001 |
      | body too large      | 413    | 1002 |
      | compressed bomb     | 413    | 1002 |
      | body too deep       | 400    | 1003 |
      | body far too deep   | 400    | 1003 |
      | model is a number   | 400    | 1004 |
      | no messages         | 400    | 1004 |
      | a list as body      | 400    | 1004 |
      | zero max_tokens     | 400    | 1004 |
      | own resume text     | 400    | 1004 |
      | bad encoding        | 400    | 1004 |
      | unknown model       | 404    | 1005 |
      | unknown service     | 404    | 1006 |
      | header too long     | 431    | 1007 |
      | program id too long | 431    | 1007 |
      | program id in UTF-8 | 400    | 1004 |
      | unknown priority    | 400    | 1004 |
      | unknown path        | 404    | 1008 |
      | wrong method        | 405    | 1009 |
      | unknown method      | 405    | 1009 |
      | no key              | 401    | 1101 |
      | empty key           | 401    | 1101 |
      | other scheme        | 401    | 1101 |
      | unknown key         | 401    | 1102 |
      | key in UTF-8        | 401    | 1102 |
      | withdrawn open key  | 401    | 1102 |
      | engine as service   | 403    | 1104 |
      | open route program  | 403    | 1104 |
      | closed route        | 401    | 1101 |

  Scenario: services get method, path, query and body unchanged
    Given an ingress
    Then every method reaches the service with path, query and body

  Scenario: an open route runs without a key and without a workspace
    Given an ingress
    Then an open route runs for the empty workspace

  Scenario: what the owner is told
    Given an ingress
    Then the owner gets program, parent, priority, tokens and idempotency key

  Scenario: a sub-agent reaches the shard of its root
    Given an ingress
    Then calls of sub-agents have the shard of their root or are refused

  Scenario: a repeated request with an idempotency key reaches its shard
    Given an ingress
    Then requests with one idempotency key share program and shard

  Scenario: models, health and readiness
    Given an ingress
    Then the models are listed only with a key
    And readiness follows the state of the process

  Scenario: an outcome is found later
    Given an ingress
    Then an outcome is returned by its idempotency key

  Scenario Outline: withdrawing a key ends what it has open
    Then a withdrawn key ends a request that <state>

    Examples:
      | state    |
      | streams  |
      | queues   |

  Scenario Outline: a caller that disconnects
    Then the run of a <kind> request is <end> after its caller left

    Examples:
      | kind   | end       |
      | stream | cancelled |
      | plain  | cancelled |
      | order  | finished  |

  Scenario: no key reaches an endpoint or a log line
    Then no key is forwarded or logged

  Scenario: a slow caller holds the endpoint back
    Then a caller that does not read stops the endpoint

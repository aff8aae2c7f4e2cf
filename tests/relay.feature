Feature: the relay of one request

  Scenario Outline: a broken run still ends in one complete response
    Given an ingress whose endpoint does "<endpoint>" and owner "<owner>"
    And the records say "<records>"
    When a "<kind>" request is sent
    Then the caller has the complete text once after <runs> runs
    And the last run continued "<resumed>"

    Examples:
      | kind | endpoint | owner | records | runs | resumed |
      | plain | answer | ticket | - | 1 | - |
      | stream | answer | ticket | - | 1 | - |
      | plain | break1 answer | ticket ticket | - | 2 | - |
      | stream | break0 answer | ticket ticket | - | 2 | - |
      | stream | break3 answer | ticket ticket | - | 2 | one two |
      | stream | break2 break2 answer | ticket ticket ticket | - | 3 | one two |
      | stream | 1203 answer | ticket ticket | - | 2 | - |
      | stream | break3 | ticket answered | - | 1 | - |
      | stream | break2 break2 | ticket ticket answered | - | 2 | one |
      | stream | break3 | ticket running | running answered | 1 | - |
      | plain | break1 | ticket answered | - | 1 | - |
      | stream | break3 answer | ticket running ticket | not_run | 2 | one two |
      | plain | - | answered | - | 0 | - |
      | stream | lost | ticket | - | 1 | - |
      | plain | lost answer | ticket ticket | - | 2 | - |
      | plain | answer | nowhere ticket | - | 1 | - |
      | stream | answer | nowhere nowhere ticket | - | 1 | - |
      | plain | answer | nowhere unknown ticket | - | 1 | - |
      | plain | 1401 answer | ticket unknown ticket | - | 2 | - |

  Scenario Outline: a failed request claims only what is known
    Given an ingress whose endpoint does "<endpoint>" and owner "<owner>"
    And the records say "<records>"
    When a "<kind>" request is sent
    Then the caller gets status <status>, code <code> and outcome <outcome>

    Examples:
      | kind | endpoint | owner | records | status | code | outcome |
      | plain chat | - | 1201 | - | 429 | 1201 | not_run |
      | plain chat | 1203 | ticket 1203 | - | 503 | 1203 | not_run |
      | plain chat | break1 | ticket 1301 | - | 502 | 1503 | unknown |
      | plain chat | break1 | ticket unknown | - | 502 | 1503 | unknown |
      | plain chat | break1 1203 | ticket ticket 1301 | - | 502 | 1503 | unknown |
      | order | break1 1203 | ticket ticket 1301 | - | 503 | 1301 | not_run |
      | order | break1 | ticket not_run | - | 503 | 1404 | not_run |
      | order | 1502 | ticket unknown | - | 502 | 1503 | unknown |
      | order | - | unknown | - | 502 | 1503 | unknown |
      | order | - | nowhere 1201 | - | 429 | 1201 | not_run |
      | order | - | nowhere not_run | - | 503 | 1301 | not_run |
      | plain chat | crossed | ticket | - | 500 | 1901 | unknown |
      | plain chat | - | answered | crossed | 500 | 1901 | unknown |
      | plain chat | 1406 1406 1406 1406 1406 1406 1406 | - | - | 503 | 1406 | not_run |

  Scenario: a caller gets the refusal of an epoch that changes in a moment
    Given an ingress whose endpoint does "-" and owner "-"
    And the endpoint has a view that the ingress and owner get in 0.4 s
    When a "plain chat" request is sent
    Then the caller has the complete text once after 2 runs

  Scenario: a stream that cannot be completed ends with an error event
    Given an ingress whose endpoint does "break3" and owner "ticket unknown"
    When a "stream" request is sent
    Then the stream ends with an error event of code 1503

  Scenario: the rest of a large response comes from the record
    Given an ingress whose endpoint does "break1" and owner "ticket answered"
    And responses are held up to 5 bytes
    When a "plain" request is sent
    Then the caller has the complete text once after 1 runs

  Scenario: a large response that cannot be completed breaks the connection
    Given an ingress whose endpoint does "break1" and owner "ticket ticket"
    And responses are held up to 5 bytes
    Then a "plain" request ends with a broken connection

  Scenario: a response of tool calls is not continued as text
    Then a chat stream with tool calls or several choices is not resumable

  Scenario Outline: the check fails when its mechanism is removed
    Then the check of "<check>" fails without "<mechanism>"

    Examples:
      | check | mechanism |
      | resume | resume text |
      | resume | whole events |
      | crossed | number check |
      | honest | hand-over note |
      | key withheld | header list |
      | key cut | catalog watch |
      | closed route | path check |
      | order kept | kept run |

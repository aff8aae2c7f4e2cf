Feature: second copies of responses

  Scenario Outline: a response outlives its endpoint process
    Given the caller of a keyed <kind> request left the ingress entry-z
    When it retries at entry-a, where the owner says <owner> and the endpoint <records>
    Then it gets the complete text without another run

    Examples:
      | kind   | owner    | records |
      | stream | answered | gone    |
      | order  | answered | gone    |
      | stream | running  | unknown |
      | stream | unknown  | -       |

  Scenario: the check notices that no copy is kept
    Given no copies are kept
    And the caller of a keyed stream request left the ingress entry-z
    When it retries at entry-a, where the owner says answered and the endpoint gone
    Then the check of the complete text fails

  Scenario: copies are bounded in count, bytes and time
    Then the oldest copies make room for newer ones and all expire

  Scenario: a caller that leaves before its run began
    Given an ingress whose endpoint does "-" and owner "hold"
    When a caller leaves while the owner decides
    Then the owner is asked to settle the request

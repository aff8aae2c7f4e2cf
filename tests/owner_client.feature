Feature: requests to the owner of a workspace shard

  Scenario Outline: a request follows its owner
    Given an owner client whose first owner <fault>
    When a request is begun and the view moves the shard to this process
    Then this process admits it with the same request id and the newer epoch
    And the repeat is counted as <counter>

    Examples:
      | fault                     | counter             |
      | cannot be reached         | retry.owner_changed |
      | closes the connection     | retry.owner_changed |
      | never answers             | retry.owner_changed |
      | is not the owner any more | retry.owner_changed |
      | has a newer epoch         | retry.stale_epoch   |

  Scenario: a broken connection needs no newer view
    Given an owner client whose first owner answers the second time
    When a request is begun
    Then the answer of the first owner arrives

  Scenario Outline: a request without an owner is given up
    Given an owner client whose first owner <fault>
    When a request is begun and the wait for an owner ends
    Then it is refused as OWNER_UNAVAILABLE

    Examples:
      | fault                     |
      | cannot be reached         |
      | is not the owner any more |

Feature: administration HTTP API

  Scenario: every route is described by the OpenAPI document
    Given an administration API
    Then routes and OpenAPI document name the same operations
    And the OpenAPI document is valid

  Scenario Outline: a request without the right is refused
    Given an administration API
    When <method> <path> is sent with key <key>
    Then the answer has code <code>

    Examples:
      | method | path         | key     | code |
      | GET    | /v1/config   | none    | 1101 |
      | GET    | /v1/config   | unknown | 1102 |
      | DELETE | /v1/keys/a   | viewer  | 1104 |

  Scenario: a number in digits of another script is an internal error
    Given an administration API
    Then generation "²" and a last count of "²" are refused as bad fields

  Scenario: a granted key is shown once and stored as a digest
    Given an administration API
    When a key is granted to north
    Then the configuration holds its digest and not the key
    And the audit record names the operator and not the key

  Scenario: the second of two racing operators gets a conflict
    Given an administration API
    When two operators replace generation 1
    Then one change is in force and the other answer has code 1602
    And the conflict names the newest generation

  Scenario: single edits of racing operators all take effect
    Given an administration API
    When 6 keys are granted at once
    Then all 6 keys are in force

  Scenario: an invalid configuration is refused whole with its place
    Given an administration API
    When a configuration with an unknown workspace is sent
    Then the answer has code 1601
    And the answer names the place $.inventory.keys[0].workspace
    And generation 1 is in force

  Scenario: a dry run changes nothing
    Given an administration API
    When a change is sent as a dry run
    Then the answer lists the change
    And generation 1 is in force

  Scenario: an outage of the store is reported as such
    Given an administration API
    When the store is down and a key is granted
    Then the answer has code 1603

  Scenario: a configuration that is too large is refused with its own code
    Given an administration API
    When a configuration above the limit of its size is sent
    Then the answer has code 1604
    And generation 1 is in force

  Scenario: a configuration without changes is written if the stored one is bad
    Given an administration API
    When the stored configuration is malformed and the same one is sent
    Then generation 2 is in force

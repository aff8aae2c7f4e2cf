Feature: real processes under faults

  Scenario: a killed owner, a withdrawn key and a store outage lose nothing
    When programs run while kill_entry, key_withdrawn and store_down happen
    Then every program completed, but for those of the withdrawn key
    And every check of the history holds

  Scenario: a rolling restart of all processes interrupts nothing
    When programs run while rolling_restart happens
    Then every program completed, but for those of the withdrawn key
    And every check of the history holds

  Scenario Outline: the checks notice a broken mechanism in real processes
    Given each <program> process has the fault that <break>
    When programs run while <fault> happens
    Then the check "<check>" is violated

    Examples:
      | program  | break                  | fault           | check                           |
      | entry    | a stop drops requests  | rolling_restart | planned stops interrupt nothing |

Feature: safety of a cell under faults

  @randomised
  Scenario: random faults never let two owners admit more than the whole
    When random faults meet a cell
    Then no check failed

  @randomised
  Scenario: random faults find that removed endpoints are forgotten
    Given a break: removed endpoints are forgotten
    When random faults meet a cell
    Then a check failed

  Scenario Outline: directed faults never let two owners admit too much
    When a cell meets the fault <fault>
    Then no check failed

    Examples:
      | fault           |
      | isolate_owner   |
      | remove_isolated |
      | forget_isolated |
      | move_witness    |
      | replace_unseen  |
      | lengthen_calls  |
      | race_operators  |

  Scenario Outline: the checks notice a broken mechanism
    Given a break: <break>
    When a cell meets the fault <fault>
    Then a check failed

    Examples:
      | break                           | fault           |
      | leases do not expire            | move_witness    |
      | half shares do not end          | isolate_owner   |
      | removed endpoints are forgotten | remove_isolated |
      | former members are not sealed   | remove_isolated |
      | former members stay too short   | remove_isolated |
      | former members stay for ever    | forget_isolated |
      | unlisted and held entries act   | replace_unseen  |
      | new members are not held        | replace_unseen  |
      | promises are not kept           | move_witness    |
      | ages are not added              | move_witness    |
      | writes are not conditional      | race_operators  |

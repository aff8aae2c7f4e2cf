Feature: safety of a cell under faults

  @randomised
  Scenario: random faults never let two owners admit more than the whole
    Then shares and generations stay right in random fault sequences

  Scenario Outline: directed faults never let two owners admit too much
    When a cell meets the fault <fault>
    Then no check failed

    Examples:
      | fault          |
      | isolate_owner  |
      | move_witness   |
      | replace_unseen |
      | lengthen_calls |
      | race_operators |

  Scenario Outline: the checks notice a broken mechanism
    Given a break: <break>
    When a cell meets the fault <fault>
    Then a check failed

    Examples:
      | break                         | fault          |
      | leases do not expire          | move_witness   |
      | half shares do not end        | isolate_owner  |
      | unlisted and held entries act | replace_unseen |
      | new members are not held      | replace_unseen |
      | promises are not kept         | move_witness   |
      | ages are not added            | move_witness   |
      | writes are not conditional    | race_operators |

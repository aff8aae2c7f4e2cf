Feature: changes travel as differences and rubbish is replaced

  Scenario Outline: the configuration is the same everywhere after a fault
    When the configuration meets the fault <fault>
    Then no check failed

    Examples:
      | fault          |
      | change_often   |
      | split_often    |
      | diverge        |
      | replace_base   |
      | lose_responses |
      | write_too_much |
      | write_rubbish  |
      | spoil_view     |
      | reorder        |

  Scenario Outline: the checks notice a broken mechanism of the configuration
    Given a break: <break>
    When the configuration meets the fault <fault>
    Then a check failed

    Examples:
      | break                           | fault          |
      | differences are not sent        | change_often   |
      | old keys stay in the catalog    | change_often   |
      | digests are not compared        | diverge        |
      | digests depend on the order     | reorder        |
      | replaced bases stay             | split_often    |
      | heads are read once             | replace_base   |
      | sizes are not limited           | write_too_much |
      | rubbish is not noticed          | write_rubbish  |
      | views are repaired at once      | spoil_view     |

  @randomised
  Scenario: differences and catalogs follow random changes
    Then tables and catalogs after differences are those of the whole document

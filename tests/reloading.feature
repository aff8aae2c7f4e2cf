Feature: secrets and certificates change without a restart

  Scenario Outline: a listener shows the certificate of its files
    Given a listener with the certificate first
    When its files become <certificate> and <key> and <event>
    Then callers see the certificate <seen> and <counter> is counted

    Examples:
      | certificate | key     | event           | seen   | counter                |
      | second      | second  | the check runs  | second | settings.reloaded      |
      | second      | second  | SIGHUP is sent  | second | settings.reloaded      |
      | first       | first   | SIGHUP is sent  | first  | settings.reloaded      |
      | second      | first   | the check runs  | first  | settings.reload_failed |
      | rubbish     | second  | SIGHUP is sent  | first  | settings.reload_failed |

  Scenario: the checks notice that broken certificates are taken
    Given a break: broken certificates are taken
    And a listener with the certificate first
    When its files become second and first and SIGHUP is sent
    Then callers do not see the certificate first

Feature: checks of what callers send

  Scenario Outline: a path that could be read in two ways is refused
    Then the service path "<path>" is <verdict>

    Examples:
      | path            | verdict  |
      | /               | accepted |
      | /a/b/           | accepted |
      | /a%20b          | accepted |
      | /%6Frders       | accepted |
      | /caf%C3%A9      | accepted |
      | /a/../b         | refused  |
      | /a/%2E%2e/b     | refused  |
      | /./a            | refused  |
      | //a             | refused  |
      | /a//b           | refused  |
      | /a%2Fb          | refused  |
      | /a%5cb          | refused  |
      | /a\b            | refused  |
      | /%256Frders     | refused  |
      | /a%00           | refused  |
      | /a%0d%0ab       | refused  |
      | /%ff            | refused  |

  Scenario: an encoded path matches the rules of the decoded one
    Then an encoded order path is not repeatable

  Scenario: arbitrary bodies are accepted or refused and never fail
    Then random JSON and random bytes give a result

  Scenario: the depth of a body is counted exactly
    Then bodies up to the depth limit are accepted and deeper ones refused

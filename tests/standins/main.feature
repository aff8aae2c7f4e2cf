Feature: program rattanvalve-standin

  Scenario Outline: each kind of stand-in serves until it is told to stop
    When rattanvalve-standin runs a <kind>
    Then it becomes ready, and SIGTERM ends it with code 0

    Examples:
      | kind    |
      | store   |
      | engine  |
      | service |
      | vms     |

  Scenario: the version is shown
    Then rattanvalve-standin and rattanvalve-load show the package version

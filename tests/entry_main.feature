Feature: the program rattanvalve-entry

  Scenario: the version is shown
    Then rattanvalve-entry shows its version

  Scenario Outline: wrong settings give one clear line and exit code 78
    Then rattanvalve-entry with <settings> exits with 78 and names "<text>"

    Examples:
      | settings                 | text           |
      | a missing file           | No such file   |
      | text that is not JSON    | truncated      |
      | an unknown field         | unknown field  |
      | a short secret           | peer_secret    |
      | a body limit of 100 MiB  | max_body_bytes |

  Scenario: a termination signal stops the service and exits with 0
    Then a service under the event loop stops on SIGTERM with exit code 0

  Scenario Outline: a termination signal before the end of the start
    Then the <program> program exits with <code> and "<text>" with <handling>

    Examples:
      | program  | handling     | code | text     |
      | entry    | held signals | 0    | stopping |
      | endpoint | held signals | 0    | stopped  |
      | endpoint | no hold      | -15  |          |

  Scenario: requests for documents reach the controller of their kind
    Then pulls are dispatched by kind and other kinds are refused

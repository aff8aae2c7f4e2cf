Feature: a burst of connections waits for a busy process without delay

  # Guards against callers and peers who wait for a second, because the kernel
  # drops connections that do not fit into the queue of a listener.
  Scenario Outline: connections to <port> arrive while the process is busy
    Given a gateway process with 150 MB of memory and 1638 descriptors
    When 400 connections to its <port> are opened while it is paused
    Then all 400 connections were open before the process went on
    And an ordinary request is answered

    Examples:
      | port    |
      | callers |
      | probes  |
      | peers   |

  # Guards against an event loop that accepts all of a burst before the process
  # closes what is too much, so that no descriptor is left.
  Scenario Outline: more connections to <port> wait than there are descriptors
    Given a gateway process with 150 MB of memory and 400 descriptors
    When 500 connections to its <port> are opened while it is paused
    Then an ordinary request is answered
    And the process lives within its memory and its descriptors
    And its table of descriptors never had more than 512 entries

    Examples:
      | port    |
      | callers |
      | probes  |

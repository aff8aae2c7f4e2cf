Feature: one unexpected error or malformed message ends no process

  Scenario: a task that fails begins again while the others go on
    Given a process of two tasks, of which one fails twice
    When it runs for 0.5 seconds
    Then the failing task has begun 3 times and the other one once
    And each failure is logged with its cause

  Scenario Outline: an entry with an address that nobody has names no server
    Then a server entry with the address "<address>" names no server

    Examples:
      | address             |
      | 10.0.0.1:99999999   |
      | 10.0.0.1:0          |
      | 10.0.0.1:1_0        |
      | 10.0.0.1.2:80       |
      | a..b:80             |
      | ünknown:80          |
      | 10.0.0.1            |

  Scenario: a cold time below zero draws no requests
    Then a server entry with a cold time of -5000 ms counts as warm

  Scenario: a late event loop is logged, one line in five seconds
    Given a loop whose timers are late by 20, 80, 300 and 60 ms, a second apart
    Then the lines tell 80 ms at once and 300 ms after five seconds
    And a loop that is held for 250 ms logs at least 140 ms

Feature: the demo

  Scenario: only a withdrawn key excuses a program that did not complete
    Then the demo finds the programs that should have completed

  Scenario: a failure ends the demo with one line and code 1
    Then the demo of an unknown scenario ends with code 1

  Scenario Outline: a signal ends the demo and all its processes
    When rattanvalve.demo is interrupted by <signal> while 14 servers run
    Then it ends with code <code> and none of its processes is left

    Examples:
      | signal  | code |
      | SIGINT  | 130  |
      | SIGTERM | 143  |

  Scenario: operators' changes follow the administration API
    Given a fake administration API that first fails and has a conflict
    When the events of a scenario are carried out
    Then the fake API has received each change once
    And the records name the new rate, the granted and the withdrawn key

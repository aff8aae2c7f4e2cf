Feature: program rattanvalve-load

  Scenario Outline: a kept history is checked again
    Given a kept run whose journal <journal>
    Then rattanvalve-load check ends with code <code>

    Examples:
      | journal             | code |
      | is complete         | 0    |
      | lacks a line        | 1    |

  Scenario: an unknown scenario is reported in one line
    Then rattanvalve-load run names the missing scenario file

  Scenario: two policies run alternately and are compared
    When rattanvalve-load compares the direct policy with itself
    Then it ends with code 0 and gives the ratios as table, JSON and plots

  Scenario Outline: a signal ends the run and all its processes
    When rattanvalve.load_main is interrupted by <signal> while 7 servers run
    Then it ends with code 1 and none of its processes is left

    Examples:
      | signal  |
      | SIGINT  |
      | SIGTERM |

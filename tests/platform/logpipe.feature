Feature: logs on standard output

  Scenario: a reader that stops reading does not hold the process up
    Given logs that go to a pipe which nobody reads
    When 20000 lines are logged within a second
    Then the process has not waited
    When the reader goes on and a line is logged
    Then the reader gets whole lines and one that counts the dropped ones

  Scenario: the number of lines is bounded, but not of warnings
    Given logs that go to a pipe that is read
    When a second brings 600 lines and 10 warnings
    Then the reader gets 500 lines, 10 warnings and the count of the others

Feature: capacity measurements

  Scenario: the bytes of every message are those of a frame on the wire
    Then the measured size of an Announce is the length of its sealed frame

  Scenario: a cell beyond the measured ones is extrapolated
    Given figures that grow with entries, with endpoints and with both
    Then the figure of 8.5 entries and 57 endpoints is exact

  Scenario: memory slopes are those of the additional parts
    Then the slope of byte strings is their size

  Scenario: an idle cell runs, is measured and leaves no process behind
    Given a cell of 1 entry and 2 endpoints without traffic
    Then the usage of its processes is read and a change is written
    And none of its processes is left

  Scenario: a command measures one part
    When rattanvalve-load capacity measures its part wire
    Then it prints a row for each message that is sent periodically

Feature: schedules of faults

  Scenario: a seed gives the same schedule, another seed another one
    Then schedules of 40 rounds depend on the seed alone

  Scenario: all kinds occur, also together and repeated
    Then a schedule of 40 rounds uses every kind, pairs and repetitions

  Scenario: chosen kinds occur in their order
    Then a schedule of kill_entry and store_down has them in turn

  Scenario: all targets exist in the fleet
    Then every target is a process, a link, the store or the operators

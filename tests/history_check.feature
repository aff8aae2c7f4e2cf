Feature: the history check

  Scenario: a correct history passes every check
    Given a correct history
    Then no check is violated

  Scenario Outline: each check can fail
    Given a correct history
    When the history is forged: <forgery>
    Then exactly "<check>" is violated

    Examples:
      | forgery                                              | check                    |
      | the order starts before the first chat has ended     | calls in order           |
      | an abandoned chat is run again after the order       | calls in order           |
      | the order runs twice under two request ids           | orders at most once      |
      | the first chat has the text of another program       | responses match requests |
      | a broken chat has kept the text of another program   | responses match requests |
      | the order's receipt is for another order             | responses match requests |
      | the first chat lacks its last word                   | responses whole          |
      | the first chat has no finish reason                  | responses whole          |
      | the journal lacks the order                          | answered calls ran       |
      | the order was only cancelled                         | answered calls ran       |
      | the order was refused by code before it ran          | not run is true          |
      | the order was refused by header before it ran        | not run is true          |
      | a journal header holds a caller's key                | no caller keys           |
      | a log file holds a caller's key                      | no caller keys           |
      | the workspace has a burst of 1                       | rates respected          |
      | an engine keeps the cache                            | cache released           |
      | the key was withdrawn long before the order          | withdrawn keys stop      |
      | the key was withdrawn long before the order's end    | withdrawn keys stop      |
      | the engine was drained long before the last chat     | drained endpoints idle   |

  Scenario Outline: each check of a run with faults can fail
    Given a correct history
    When the history is forged: <forgery>
    Then exactly "<check>" is violated

    Examples:
      | forgery                                            | check                           |
      | a stream breaks during a planned stop              | planned stops interrupt nothing |
      | an order is unknown during a planned stop          | planned stops interrupt nothing |
      | an entry states an older generation                | configuration never reverts     |
      | an entry keeps an older generation to the end      | configuration never reverts     |
      | an order is unknown although nothing failed        | unknown outcomes rare           |
      | many orders are unknown after a kill               | unknown outcomes rare           |
      | an endpoint gets work 4 s after its planned stop   | leaving endpoints idle          |
      | a program is refused after the last fault          | service resumes                 |
      | no program starts after the last fault             | service resumes                 |
      | a quiet withdrawal takes 3 s                       | withdrawn keys stop             |
      | an engine was killed before it cached a program    | cache released                  |

  Scenario: honest histories are not accused
    Given a correct history
    Then a refusal after an unanswered attempt accuses nobody
    And a burst that queueing caused accuses nobody
    And a raised rate counts from its change
    And an incomplete last journal line is passed over
    And a break during a kill or a refused connection accuses no planned stop
    And a cache lost with its engine accuses nobody

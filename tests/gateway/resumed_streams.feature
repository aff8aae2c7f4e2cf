Feature: budgets and resumed streams on routes whose turns are not kept

  Background:
    Given a fleet on the platform

  Scenario: a program keeps to its budget on a route that keeps no turns
    When a program with a budget of 60 tokens sends 5 turns on route plan
    Then 2 turns are answered and 3 get 402

  Scenario: a turn that has not run gives its tokens back
    When all models refuse
    And a program with 30 tokens sends 3 turns in vain on route plan
    And all models accept again
    Then one more turn of the program on route plan is answered

  Scenario: a caller that leaves while its turn waits gives its tokens back
    When the rate is set to 1 a second with a burst of 1
    And a turn of a program with 40 tokens is given up while it waits
    Then one more short turn of the program is answered

  Scenario: a caller goes on with a stream through another gateway
    Then a caller that resumes plan after event 1 gets events 2 and 3
    And a caller that resumes chat after event 1 gets all events
    And a caller that resumes plan after "x" or "-1" gets 400 and nothing runs

  Scenario: a server dies within an event and the stream goes on elsewhere
    Given server models-2 joins the fleet
    When a stream on route plan is sent to the path crash
    Then the caller gets each event once under the seal of the first server
    And the tokens of the stream are counted once

  Scenario: a server breaks off a stream and lives
    Given server models-2 joins the fleet
    When a stream on route plan is sent to the path half
    Then the caller gets whole events only and a stream that is not complete
    And one server got the stream

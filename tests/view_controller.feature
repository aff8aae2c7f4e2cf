Feature: the view of a cell

  Scenario: an hour of store outage changes nothing
    Given a settled cell
    When the store is down for 3600 s
    Then all entries are FULL and the epoch is unchanged

  Scenario: an entry that dies in an outage stops non-repeatable work
    Given a settled cell
    When the store is down and entry c dies for 30 s
    Then the others are HALF

  Scenario: silent members of a lost zone leave in one change
    Given a settled cell
    When entry c and endpoint e1 fall silent together
    Then one change of the view removed both

  Scenario: a process that was removed while paused comes back as a new one
    Given a settled cell
    When entry b is paused for 60 s and runs again
    Then b does not act before it is listed with a new incarnation

  Scenario: a pause of the maintainer removes nobody
    Given a settled cell
    When all entries stand still for 60 s
    Then no further change of the view is made

  Scenario: an entry that stops leaves at once
    Given a settled cell
    When entry b leaves
    Then the others adopt a view without b in one round

  Scenario: two processes that change the view at once both succeed
    Given a settled cell
    When d joins while the maintainer changes the view
    Then d is listed and the conflict was counted

  Scenario: the loops of the controllers build a cell and spread a change
    Given three entries whose loops run
    Then they share one view and are FULL, and a change spreads at once

  Scenario: a cell whose entries all restart acts again without its endpoints
    Given a settled cell
    When all entries restart while no endpoint announces itself
    Then all entries are FULL and endpoints of the view were kept

Feature: measures and tables

  Scenario: percentiles interpolate
    Then percentiles of 0 to 100 are exact and those of few samples defined

  Scenario: slowdown compares with running alone
    Then a program that nothing delayed has a slowdown of 1 and a late one more

  Scenario: reusable tokens that were computed again are wasted
    Then half of the reusable tokens computed again give a waste of 50 %

  Scenario: a refusal within the rate is wrongful
    Then only the refusals that an ideal bucket would have admitted count

  Scenario: the worst-served workspace is named
    Then the workspace with the largest median slowdown is reported

  Scenario: tables show each program and the first violation
    Then the tables have aligned columns and show what went wrong

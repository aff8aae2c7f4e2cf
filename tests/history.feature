Feature: digests over the history of a program

  Scenario: a chain detects every change of an earlier message
    Then an extended history continues and a changed one is a fork

  Scenario: a fork is served without affinity
    Then a forked call is placed without its last endpoint and counted

Feature: the age of what a process decides by is visible

  Scenario: a document out of date is logged once, and when it is confirmed
    Given rules that were confirmed 0 s ago and must be newer than 2 s
    When their age is checked after 1.9 s, 2.1 s and 4 s
    Then one line says that the rules are out of date, with an age of 2100 ms
    When they are confirmed after 4.2 s
    Then one line says that they were unconfirmed for 4200 ms

Feature: the age of what a process decides by is visible

  Scenario: a document out of date is logged once, and when it is confirmed
    Given rules that were confirmed 0 s ago and must be newer than 2 s
    When their age is checked after 1.9 s, 2.1 s and 4 s
    Then one line says that the rules are out of date, with an age of 2100 ms
    When they are confirmed after 4.2 s
    Then one line says that they were unconfirmed for 4200 ms

  Scenario Outline: the steps of a change fit into the time in which it must be in force
    Then with a bound of <bound> s an own call of the store ends in time
    And a watch and an exchange take less time than processes rely on peers
    And backup watchers call before the other gateways do

    Examples:
      | bound |
      | 0.5   |
      | 1     |
      | 2     |
      | 4     |
      | 15    |

  Scenario Outline: a change is in force in time at all gateways, whatever fails
    When faults of seed <seed> strike 3 turn stores, 5 gateways and the store
    Then no gateway decides by outdated rules as if they were confirmed
    And each gateway that reaches the store has confirmed rules

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario: relying on peers for 5 s lets gateways get out of date
    Given processes that rely on peers for 5 s and watches of 3 s
    When all 3 turn stores are lost beside 5 gateways
    Then a gateway that reaches the store has unconfirmed rules

  Scenario: hundreds of gateways do not each call the store
    When all 5 turn stores are lost beside 200 gateways
    Then each gateway that reaches the store has confirmed rules
    And at most 10 gateways call the store from 3 s after the loss on

  Scenario Outline: open streams of a withdrawn key outlive the time for it
    Then with rules that may be <rules> s late and <revocation> s for a key, streams end in time

    Examples:
      | rules | revocation |
      | 2     | 5          |
      | 4     | 5          |
      | 6     | 5          |

  Scenario: a document that cannot be decoded is confirmed all the same
    Given a turn store whose rules cannot be decoded
    When a process exchanges documents with it for 1 second
    Then its rules are not confirmed

  Scenario: rules that the store has and nobody can read are confirmed
    Given a store whose rules cannot be decoded
    When a process follows the rules for 1 second
    Then its rules are not confirmed
    When the operators replace them by sound ones and it follows for 1 second
    Then its rules are confirmed

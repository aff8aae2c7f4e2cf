Feature: confirmations decide how far an owner may act

  Scenario Outline: the mode follows the age of the newest store read
    Given a confirmed entry
    Then its mode <age_s> s after the store read is <mode>

    Examples: a process that was paused finds the same ages when it resumes
      | age_s  | mode |
      | 0      | FULL |
      | 9.9    | FULL |
      | 10     | HALF |
      | 3909   | HALF |
      | 3910   | NONE |

  Scenario: statements of all entries replace the store, of fewer do not
    Given a confirmed entry
    Then only recent statements of all entries keep it confirmed

  Scenario: a new member is held until its predecessors cannot act
    Given a confirmed entry
    Then a hold ends by seals, a confirmed entry, restarts, or time

  Scenario: an epoch never decreases
    Given a confirmed entry
    Then a view of an older epoch violates an invariant

  Scenario: ages sent to peers are rounded up
    Then an age of 1.0001 s is sent as 1001 ms

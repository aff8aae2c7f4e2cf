Feature: release of caches that no program needs

  Scenario Outline: the owner releases the cache of a program
    Given a program with a cache at an endpoint
    When it <event>
    Then <count> releases of its cache reach that endpoint

    Examples:
      | event                        | count |
      | goes on at the same endpoint | 0     |
      | moves to another endpoint    | 1     |
      | ends on a plain service      | 1     |
      | spends its budget            | 1     |

  Scenario: the check notices that no release is sent
    Given a program with a cache at an endpoint
    And the owner sends no releases
    When it moves to another endpoint
    Then 0 releases of its cache reach that endpoint

  Scenario Outline: an endpoint process releases only for a current epoch
    Given an endpoint process beside an engine
    When a release of epoch <epoch> arrives with <handling> at epoch 5
    Then the cache is <state>

    Examples:
      | epoch | handling      | state    |
      | 4     | no fault      | held     |
      | 5     | no fault      | released |
      | 6     | no fault      | released |
      | 4     | epoch ignored | released |

  Scenario Outline: a cache is held for four times the longest pause
    When a program pauses for <pauses> s
    Then its cache is held for <hold> s

    Examples:
      | pauses | hold |
      | 0      | 10   |
      | 1      | 10   |
      | 20     | 80   |
      | 20 3   | 80   |
      | 3 20   | 80   |
      | 600    | 120  |

  Scenario: the last call of a program holds nothing
    When a program ends after a pause of 20 s
    Then its cache is held for 0 s

  Scenario: the table notices holds that ignore pauses
    Given holds ignore pauses
    When a program pauses for 20 s
    Then its cache is held for 10 s

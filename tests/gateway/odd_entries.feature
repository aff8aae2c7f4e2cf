Feature: an odd entry of another writer harms nobody

  # Guards against a list of servers that stands still for all processes, as one
  # unreadable entry makes each list and watch fail.
  Scenario Outline: changes arrive everywhere beside an odd entry of a server
    Given a fleet on the platform
    When another writer adds an entry of a server <oddity>
    And then the operators add a key and server app-3 is added
    Then the key is accepted by both gateways within 2 s
    And app-3 gets requests, and no process has failed a task

    Examples:
      | oddity                             |
      | nested 100 levels deep             |
      | nested 960 levels deep             |
      | nested 1100 levels deep            |
      | nested 300000 levels deep          |
      | with 10000000000000000000000000 slots |
      | born at a number of 400 digits     |
      | that is cold for 1e308 ms          |
      | at port 99999999                   |
      | with a name of 100000 characters   |
      | whose service is half of a pair    |
      | keyed by half of a pair            |
      | of NaN slots                       |

  Scenario Outline: changes arrive everywhere beside an odd member or retirement
    Given a fleet on the platform
    When another writer adds a <kind> that is <oddity>
    And then the operators add a key and server app-3 is added
    Then the key is accepted by both gateways within 2 s
    And app-3 gets requests, and no process has failed a task

    Examples:
      | kind       | oddity                                                      |
      | turnstores | {"host": "10.0.0.1", "port": 10000000000000000, "zone": ""} |
      | turnstores | {"host": "no address", "port": 80, "zone": ""}              |
      | turnstores | {"host": "a..b", "port": 80, "zone": ""}                    |
      | turnstores | nested 960 levels deep                                      |
      | turnstores | {"host": "\ud800", "port": 80, "zone": ""}                  |
      | turnstorelists | {"members": {}, "sets": []}                             |
      | turnstorelists | nested 960 levels deep                                  |
      | retirements | nested 1100 levels deep                                    |

  Scenario: a list goes on after a page of entries that cannot be used
    Given a store with pages of two entries, of which the second page is odd
    Then a list has all entries that can be read

  Scenario Outline: an entry with a number out of range names no server
    Then an entry of a server <oddity> names no usable server

    Examples:
      | oddity                                |
      | with 10000000000000000000000000 slots |
      | born at a number of 400 digits        |
      | that is cold for 1e308 ms             |
      | at port 99999999                      |
      | nested 65 levels deep                 |
      | whose service is half of a pair       |
      | keyed by half of a pair               |
      | of NaN slots                          |

  Scenario: values that are nested too deeply are cut out, others are kept
    Then each of 300 random values keeps its upper levels when it is cut

  Scenario Outline: only values that cannot be read are replaced
    Then the JSON text <text> is read as <expected>

    Examples:
      | text                                 | expected                           |
      | ["\ud800", "\udc00\ud800", "a"]      | [null, null, "a"]                  |
      | {"\udfff" : 1, "b": "\ud83d\ude00"}  | {"" : 1, "b": "\ud83d\ude00"}      |
      | [NaN, -Infinity, "NaN", "\\\"NaN: "] | [null, null, "NaN", "\\\"NaN: "]   |

Feature: retention of turns and of the turns that they continue

  Scenario: a chain is retained the same in whatever order its turns arrive
    # A store that had lost its disk got new turns before the old ones that they
    # continue, and then removed these too early: callers got 503 for good.
    Given a chain of 4 turns, each written 50 s after the one before
    Then in each order of arrival all of it is stored until the newest expires
    And a turn that arrives after its own expiry is stored as long as the others

  Scenario: turns that continue each other in a circle have an end
    # A caller who used the id of a request again could let a store and a gateway
    # walk such a chain for ever.
    Given a store and a gateway with a turn that continues itself
    Then both find its chain of 1 turn
    Given a store and a gateway with two turns that continue each other
    Then both find its chain of 2 turns

  Scenario Outline: no turn is lost while stores lose their disks in turn
    # Turns were lost when the last store with the beginning of their chain lost
    # its disk; with 6 stores also when another program continued a turn.
    Then every turn can be continued if <count> stores lose their disks in turn

    Examples:
      | count |
      | 3     |
      | 6     |

  Scenario Outline: no turn is lost under faults that come one after the other
    Then every turn of <count> stores can be continued with seed <seed>

    Examples:
      | count | seed |
      | 3     | 1    |
      | 6     | 2    |

  Scenario: a store removes nothing by what it does not know yet
    # A store that was away removed turns and budgets that had been extended
    # meanwhile, as it had not read the newer records yet.
    Then stores a, b and c know all records until the times below
      | intact | a read b at | a read c at | until |
      | yes    | 80          | 90          | 90    |
      | yes    | 80          |             | 80    |
      | yes    |             |             | 0     |
      | no     | 80          | 90          | 80    |
      | no     |             | 90          | 0     |
    And a store alone in its list knows all records until now

  Scenario: a store whose records cannot be extended any more removes them
    # Otherwise the disk of a store that is cut off for good would fill up.
    Given a replica that has read no other member, with an expired turn
    Then the turn is removed once no record could extend it any more

  Scenario: a store that lacks the beginning of a chain says so
    # Stores removed turns that others continued, and reported nothing.
    Given a complete replica with a turn whose predecessor is missing
    When it sweeps
    Then the gap is counted and logged

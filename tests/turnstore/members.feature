Feature: records of the turn store while its members change

  Scenario: members that missed a turn or lost their disk do not deny it
    # Callers got 404 while the only member with their turn was away: it had been
    # removed from the list, and the emptied member counted itself as complete.
    Then no turn is denied if one of 3 stores misses turns, one is emptied and one stays away

  Scenario: gateways with different lists and new members deny and forget nothing
    # Callers got 404 just after members were added, as a gateway with the list of
    # before asked the old members only; programs exceeded their budgets, as a new
    # member was complete before any record was placed on it.
    Then no turn is denied and no budget exceeded if three stores are added

  Scenario Outline: the promises hold while members change at random
    Then nothing is denied or exceeded under random changes with seed <seed>

    Examples:
      | seed |
      | 4    |
      | 5    |
      | 6    |
      | 9    |

  Scenario: a store is complete for a list once it has read the sets before it
    Given the sets "a b c" and "b c d" of members, of which the second is new
    Then with one loss allowed, a store is caught up with them as follows
      | store | intact | read  | caught up |
      | d     | yes    |       | no        |
      | d     | yes    | b     | no        |
      | d     | yes    | b c   | yes       |
      | d     | yes    | a b   | yes       |
      | b     | yes    | c     | yes       |
      | b     | no     | c d   | no        |
      | b     | no     | a c d | yes       |

  Scenario: a store answers for the programs that it has kept all the time
    Given the sets "a b c" and "b c d" of members, of which the second is new
    And store b, which was complete with the first set
    Then it counts for a program of a, b and c, which b, c and d keep now
    But it does not deny turns, as they may be of another program
    And after it has lost its disk it counts for none

  Scenario: a lost disk is forgotten when its records have expired
    # Stores that lost more disks than are tolerated would wait for ever.
    Given store b with a list of epoch 2
    When it loses its disk at 0 s and records are kept for 100 s
    Then it is not intact at 99 s and intact at 101 s

  Scenario: a record that was sent by another list is not stored
    Given store b with a list of epoch 2
    Then a record that was sent with epoch 1 or 3 is refused and not stored
    And one that was sent with epoch 2 is stored
    And one whose write ends after the next epoch has begun does not count

  Scenario: a store that restarts does not go back to an older list
    Given store b with a list of epoch 2
    When it has answered, and starts again with a list of epoch 1
    Then a record that was sent with epoch 1 or 3 is refused and not stored

  Scenario: the sets of the list follow from what its members tell
    Then the list of members changes as follows
      | sets          | event                   | result                |
      | a b c         | d joins                 | a b c, a b c d        |
      | a b c d, a b c | e joins                |                       |
      | a b c, b c    | d joins                 | a b c, b c, b c d     |
      | a             | d joins                 | a, a d                |
      | a b c         | a leaves                | a b c, b c            |
      | a b c, a b c d | a leaves               |                       |
      | a             | a leaves                |                       |
      | a b c, b c d  | b c are complete        | b c d                 |
      | a b c, b c d  | b is complete           |                       |
      | a b c         | b is silent             | a b c, a c            |
      | a b c, a c d  | c is silent             |                       |
      | a b c         | b c are silent          |                       |
      | a b c, b c    | 100 s pass              | b c                   |
      | a b c, b c    | 99 s pass               |                       |

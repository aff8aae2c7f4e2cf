Feature: requests to the owner

  Scenario: calls of a busy program wait in order of arrival
    When five calls of one program begin at once
    Then they are admitted one after another in their order

  Scenario: a call waits for its program no longer than its timeout
    Then a call of a busy program is refused at its timeout

  Scenario: an overdue ticket does not block its program for ever
    Then a call gets its turn after the lost report of the earlier one

  Scenario: requests within the rate wait and others are refused at once
    When 40 requests arrive at a rate of 10 in one second
    Then those that fit into a second wait and the others are refused at once

  Scenario: a request waits for an endpoint that restarts, but not for long
    When a request arrives while no endpoint is up
    Then it is admitted once an endpoint is up again
    And another one is refused with NO_ENDPOINT after 2 seconds

  Scenario: a process that is not the owner refuses
    Then requests at another process get NOT_OWNER with its epoch

  Scenario: requests wait for a takeover that lasts too long only so long
    Then requests of unsealed shards are refused with OWNER_UNAVAILABLE

  Scenario: a successor without every seal limits itself
    Given an owner that died while an endpoint is unreachable
    Then the successor serves after the lease at half the rate
    And an unknown key of that service ends with OUTCOME_UNKNOWN
    And the late seal restores the whole rate and the records

  Scenario: a leaving owner hands its ledger over
    Given a program with a running and a finished call
    When its owner leaves with a handover
    Then the next owner continues without records

  Scenario Outline: an owner that rejoins after a pause uses no old state
    Given a running call whose owner is removed while it is paused
    When the next owner ends it, runs another one and the first owner rejoins, which sees <views>
    Then the first owner knows both calls and admits a third with a new number

    Examples:
      | views         |
      | each view     |
      | the last view |

  Scenario Outline: the ticket of a caller that left is settled at once
    Given a ticket whose run <state>
    When its caller has left
    Then the next call of the program <next>

    Examples:
      | state     | next          |
      | never ran | begins        |
      | began     | waits for it  |

  Scenario: a lagging owner repeats a run in the view that refused it
    Then a run that a newer view refused is repeated in that view

  Scenario: an outdated handover is refused
    Then a handover of an older epoch is refused

  Scenario: a successor rebuilds budgets and roots from records
    Then the successor of a dead owner knows what programs spent

  Scenario: the handlers answer over connections
    Then begin, finish, resolve, explain and handover are answered by a server

  Scenario: a large shard travels in several parts
    Then a shard of 9000 attempts is imported from frames below the limit

  Scenario Outline: the checks notice a broken mechanism
    Then the check of <subject> fails with <fault>

    Examples:
      | subject      | fault                  |
      | order        | waiting without order  |
      | gate         | serving without seal   |
      | rejoin       | old state kept         |
      | left caller  | left ticket kept       |
      | half-rate successor | unknown keys run    |
      | half-rate successor | late records ignored   |
      | handover     | handover dropped       |
      | rebuild      | records ignored        |
      | large        | parts mixed up         |
      | epoch        | epoch ignored          |

  Scenario: a restarted endpoint gives unknown
    Then a run of an earlier incarnation ends with unknown

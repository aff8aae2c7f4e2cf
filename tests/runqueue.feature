Feature: queue before one server

  Scenario: priority first, then workspaces in turn, then the least served
    Given a program_fair queue with 1 slot
    When these requests arrive
      | number | workspace | priority | attained |
      | a      | north     | 1        | 900      |
      | b      | north     | 1        | 10       |
      | c      | north     | 1        | 20       |
      | d      | south     | 1        | 500      |
      | e      | south     | 0        | 500      |
      | f      | south     | 2        | 0        |
    Then they run in the order e b d c a f

  Scenario: high first, then workspaces by weight, then the most served
    Given a finish_first queue with 1 slot
    When these requests arrive
      | number | workspace | priority | attained |
      | a      | north     | 1        | 900      |
      | b      | north     | 1        | 10       |
      | c      | north     | 2        | 2000     |
      | d      | south     | 2        | 500      |
      | e      | south     | 0        | 0        |
    Then they run in the order e a d b c

  Scenario Outline: the lowest class shares by weight or waits
    Given a <policy> queue with 1 slot
    When north normal and south low send 30 requests each
    Then the next 30 turns go <shares>

    Examples:
      | policy       | shares                |
      | finish_first | north 20 and south 10 |
      | program_fair | north 30              |

  Scenario: first come, first served
    Given a first_come queue with 1 slot
    When these requests arrive
      | number | workspace | priority | attained |
      | a      | north     | 1        | 900      |
      | b      | south     | 0        | 10       |
      | c      | north     | 1        | 20       |
    Then they run in the order a b c

  Scenario: a workspace that was idle has not saved up service
    Given a program_fair queue with 1 slot
    When north has used 50 turns alone and both workspaces send 20 requests
    Then the next 20 turns are shared equally

  Scenario: the queue of a workspace is bounded, with a retry time that holds
    Given a program_fair queue with 1 slot
    When north fills its queue with runs of 2 s
    Then one more is refused and accepted after the retry time

  Scenario: the cost of an operation does not grow with the queue
    Then a queue that is 16 times as long needs less than twice the comparisons

  @randomised
  Scenario Outline: long random sequences keep order, bounds and deadlines
    Then random sequences find no fault in a <policy> queue

    Examples:
      | policy       |
      | program_fair |
      | first_come   |
      | changing     |
      | finish_first |

  @randomised
  Scenario Outline: the check catches a broken queue
    Then random sequences find a queue with <fault>

    Examples:
      | fault                     |
      | no regard to priority     |
      | most attained first       |
      | one slot too many         |
      | overdue requests that run |
      | a withdrawn one that runs |
      | started programs last     |
      | the lowest class before others |
      | a rule that is not followed |
      | a request paused again and again |
      | all slots paused |
      | paused requests that never resume |

  Scenario Outline: waiting requests follow a changed rule and none is lost
    Given a <before> queue with 1 slot
    When these requests arrive
      | number | workspace | priority | attained |
      | a      | north     | 1        | 0        |
      | b      | north     | 1        | 900      |
      | c      | south     | 2        | 10       |
      | d      | north     | 1        | 20       |
    And the first one starts and the rule becomes <after>
    And the started one finishes
    Then they run in the order <order>

    Examples:
      | before       | after        | order |
      | first_come   | program_fair | d b c |
      | program_fair | first_come   | b c d |
      | first_come   | first_come   | b c d |

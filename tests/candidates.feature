Feature: decisions do not look at every endpoint

  Scenario: requests in one view look at its members once
    Given a view whose members count how often they are listed
    Then 1000 lookups of owners and members list them once

  Scenario: an announce of an unchanged view lists no members
    Given a view whose members count how often they are listed
    Then 1000 announces list them once for each lookup table

  Scenario Outline: placements list the endpoints of a service once
    Given <count> endpoints whose states count how often they are judged
    Then 1000 placements judge each of them at most once

    Examples:
      | count |
      | 10    |
      | 300   |

  @randomised
  Scenario: kept candidates are those that a full look finds
    Then random reports, requests and pauses give the same candidates

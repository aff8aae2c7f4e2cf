Feature: announcements of an endpoint process

  Scenario Outline: a confirmation is taken over for the same view only
    Given an entry with epoch <entry> and an announcer with epoch <own>
    When the endpoint announces itself
    Then it has epoch <after> and <confirmed> confirmation

    Examples:
      | entry | own | after | confirmed |
      | 4     | 4   | 4     | one       |
      | 5     | 4   | 5     | one       |
      | 3     | 4   | 4     | no        |

  Scenario: leaving and a change of health are announced at once
    Given an entry with epoch 4 and an announcer with epoch 4
    When a check succeeds, two checks fail and the endpoint leaves
    Then the announcements are healthy, unhealthy and leaving

  Scenario: the queue policy of an older configuration is never taken again
    Given an entry with epoch 4 and an announcer with epoch 4
    When its announcements are answered with these rules
      | generation | policy       |
      | 0          | program_fair |
      | 2          | first_come   |
      | 1          | program_fair |
      | 2          | program_fair |
      | 3          | program_fair |
    Then the queue policies first_come program_fair were taken

Feature: scenarios and program plans

  Scenario: the bundled scenarios describe a valid deployment
    Then every bundled scenario gives a configuration that the product accepts
    And its events and programs name things that exist

  Scenario Outline: an invalid scenario is refused with its place
    Then scenario hrafnsdottir with <path> set to <content> is refused at <place>

    Examples:
      | path                     | content  | place                      |
      | zones                    | []       | $.zones                    |
      | events.0.action          | "pause"  | $.events[0].action         |
      | programs.stream_share    | 2        | $.programs.stream_share    |
      | services.0.colour        | 1        | $.services[0]              |

  Scenario: plans depend on the seed only
    Then the same seed plans the same programs and another seed others

  Scenario: a plan is a chain with one order that never comes last
    Then every planned program starts and ends with a chat and has one order

Feature: fencing check of engine commands

  Scenario Outline: an older token is refused
    Then of the tokens <tokens> these are refused: <refused>

    Examples:
      | tokens    | refused |
      | 1 1 2     | none    |
      | 2 1 2 3 2 | 1 2     |

Feature: command line of operators

  Scenario Outline: exit codes tell what went wrong
    Given an administration API
    When rattanvalvectl runs <arguments>
    Then it exits with <exit_code> and prints <text>

    Examples:
      | arguments                          | exit_code | text                              |
      | validate good.json                 | 0         | valid                             |
      | validate bad.json                  | 3         | unknown workspace `nobody`        |
      | validate broken.json               | 3         | broken.json                       |
      | validate good.json good.json       | 3         | given twice                       |
      | apply good.json                    | 0         | generation 2                      |
      | apply good.json --dry-run          | 0         | rules.rates.north.rate_per_s      |
      | apply good.json --generation 9     | 4         | newest generation 1               |
      | diff good.json                     | 0         | rules.rates.north.rate_per_s      |
      | get                                | 0         | "orders-app"                      |
      | grant north north-9                | 0         | rv-                               |
      | grant nobody key-9                 | 3         | unknown workspace                 |
      | withdraw north-1                   | 0         | generation 2                      |
      | withdraw missing                   | 3         | unknown key                       |
      | drain models-1                     | 0         | generation 2                      |
      | drain models-1 --undo              | 3         | is not drained                    |
      | --url http://127.0.0.1:1 get       | 5         | no response                       |
      | --output json withdraw north-1     | 0         | "generation": 2                   |
      | --version                          | 0         | rattanvalvectl                    |
      | apply good.json --wait 60          | 0         | generation 2 in force at 2 of 2   |
      | apply good.json --wait 0           | 6         | not at b                          |
      | apply good.json --dry-run --wait 0 | 0         | generation 1                      |
      | status --all                       | 0         | reached (a, b)                    |

  Scenario Outline: an entry that does not answer is named
    Given an administration API
    And entry c of the cell does not answer
    When rattanvalvectl runs <arguments>
    Then it exits with <exit_code> and prints <text>

    Examples:
      | arguments                          | exit_code | text                              |
      | status --all                       | 0         | problem: no answer (c)            |
      | status --all                       | 0         | rate_exceeded 7                   |
      | apply good.json --wait 0           | 6         | not at b, c                       |

  Scenario Outline: an answer that is no object of ours ends in an exception
    Given an HTTP server that answers every request with <body>
    When rattanvalvectl runs status
    Then it exits with 5 and prints <text>

    Examples:
      | body             | text                  |
      | [1]              | sent no JSON object   |
      | {"error": "odd"} | sent an unknown error |

  Scenario: the checks notice entries that are passed over
    Given a break: entries without an answer are passed over
    And an administration API
    And entry c of the cell does not answer
    When rattanvalvectl runs apply good.json --wait 60
    Then it does not exit with 6

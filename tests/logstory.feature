Feature: the story of one request from the logs of all processes

  Background:
    Given the logs
      | text                                                                                                                                                      |
      | 8.1 front-b {"time": "2026-12-04 06:00:08,100", "level": "INFO", "message": "gateway: request ended", "process": "front-b", "request": "r2", "program": "p1", "outcome": "rate_exceeded"} |
      | 7.0 front-a {"time": "2026-12-04 06:00:07,000", "level": "INFO", "message": "gateway: request ended", "process": "front-a", "request": "r1", "program": "p1", "outcome": "answered"}      |
      | 7.9 front-b {"time": "2026-12-04 06:00:07,900", "level": "WARNING", "message": "store: store lost", "process": "front-b"}                                                                |
      | 7.9 front-c {"time": "2026-12-04 06:00:07,900", "level": "WARNING", "message": "store: store lost", "process": "front-c"}                                                                |
      | 2.0 front-b {"time": "2026-12-04 06:00:02,000", "level": "INFO", "message": "process: started", "process": "front-b"}                                                                    |
      | 8.0 front-b {"time": "2026-12-04 06:00:08,000", "level": "INFO", "message": "gateway: request ended", "process": "front-b", "request": "r9", "program": "p9", "outcome": "answered"}      |
      | not JSON {                                                                                                                                                |
      | {"message": "without a time"}                                                                                                                             |

  Scenario: lines of the request, its program and its process, in order of time
    When the story of r2 is asked for
    Then its lines are r1, store lost, r2
    And the line of r2 is marked and says rate_exceeded

  Scenario: a request that no line names has an exit code of its own
    When the story of r7 is asked for
    Then it exits with 7

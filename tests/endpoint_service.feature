Feature: runs at an endpoint process

  Scenario: an engine stream is passed on with its usage
    Given an endpoint process beside an engine
    When a run of POST /v1/chat/completions is read to its end
    Then the stream arrived unchanged with 7, 5 and 3 tokens
    And the server saw the headers of this process and no key

  Scenario Outline: the record of a resumed run holds the whole text
    Given an endpoint process beside an engine
    When a run that continues "<text>" is read to its end
    Then its stream has the text "a" and its record "<whole>"

    Examples:
      | text  | whole  |
      |       | a      |
      | one t | one ta |

  Scenario: the check of the record notices a tail
    Given an endpoint process beside an engine
    When a run that continues "one t" is read to its end with records of tails
    Then its stream has the text "a" and its record "a"

  Scenario: a broken connection is not repeated and ends as unknown
    Given an endpoint process beside a plain service
    When a run of PUT /break is read to its end
    Then the server saw 1 request and the outcome is unknown

  Scenario: the check sees the repetition that the session forbids
    Given an endpoint process with a session that repeats
    When a run of PUT /break is read to its end
    Then the server saw 2 requests and the outcome is unknown

  Scenario: a non-repeatable run goes on without its connection
    Given an endpoint process beside a plain service
    When the connection of a non-repeatable run of POST /held closes
    Then settling with a wait gives the whole response

  Scenario: a repeatable run is cancelled without its connection
    Given an endpoint process beside a plain service
    When the connection of a repeatable run of POST /held closes
    Then the server saw the cancellation

  Scenario: a waiting run whose deadline passes is refused as not run
    Given an endpoint process beside a plain service
    When all slots are taken and a run with a deadline of 50 ms arrives
    Then it is refused with TIMEOUT_QUEUED and settled as not run

  Scenario: a process that leaves finishes its work and refuses new runs
    Given an endpoint process beside a plain service
    When it drains while a run of POST /held is running
    Then the run is answered, a new one is refused and a copy is a duplicate

  Scenario: an expired confirmation stops non-repeatable runs only
    Given an endpoint process beside a plain service
    When the confirmation has expired
    Then a non-repeatable run is refused and a repeatable one runs

  Scenario Outline: the end of a run is reported until it is acknowledged
    Given an owner that answers <answers> to reports
    When the end of a run is reported
    Then the owner got <count> reports with the usage

    Examples:
      | answers         | count |
      | Ack             | 1     |
      | Refusal Ack     | 2     |
      | Refusal Refusal Refusal Refusal Refusal Refusal Ack | 7 |

  Scenario Outline: a run that is paused for a higher class is never lost
    Given an endpoint process with 2 slots beside an engine that <does>
    When a high-priority chat arrives while two low ones run
    Then all three are answered completely and the engine was told to <steps>

    Examples:
      | does                     | steps                     |
      | pauses                   | pause resume              |
      | refuses to pause         | pause pause               |
      | loses an answer to pause | pause resume pause resume |
      | loses a resume           | pause resume resume       |

  Scenario: commands of a restarted process carry the epoch of its view
    Given an endpoint process beside an engine
    When it adopts a view of epoch 7 before its first run and releases caches
    Then the server saw the release with fencing token 7

  Scenario: reports go to the owner of the newest view
    Given an owner that answers Ack to reports
    Then the end of an old ticket is reported to its new owner, not the former

  Scenario: an endpoint process exceeds the limit that its server states
    Given an endpoint process beside a plain service
    When the server states a limit of 4 a second
    And 20 runs a second are sent for 8 s
    Then the server got no more than its limit allows
    And refused runs learned at once when to return and the others ended
    When the server states no limit any more and a run ends
    Then 8 runs that follow at once are all answered

  @known_red
  Scenario: a server crashes more than three times by the same run
    Given an endpoint process beside a plain service
    When a run of PUT /crash comes 6 times, and the server starts again each time
    Then the server has crashed 3 times at most

Feature: requests through gateways and turn stores on the platform

  Background:
    Given a fleet on the platform

  Scenario: a turn continues an earlier one through another gateway
    When turn a begins with "hello " through gateway 0
    And turn b continues a with "again " through gateway 1
    And turn c continues b with "third" through gateway 0
    Then the model got the prompts and outputs of a and b before "third"

  Scenario: a turn of another workspace or of nobody does not exist
    When turn a begins with "hello " through gateway 0
    Then a turn of another workspace that continues a gets 404
    And a turn that continues an unknown one gets 404

  Scenario: turns outlast a lost disk and the stop of all turn stores
    When turn a begins with "hello " through gateway 0
    And all turn stores stop, store 1 loses its disk, and all start again
    And turn b continues a with "again " through gateway 1
    And all turn stores stop, store 0 loses its disk, and all start again
    And turn c continues b with "third" through gateway 1
    Then the model got the prompts and outputs of a and b before "third"

  Scenario: a retired turn store hands its records over before it leaves
    When turn a begins with "hello " through gateway 0
    And turn store 0 is retired and reports that it is done
    And turn store 0 stops and turn store 1 stops
    Then gateway 0 is not ready
    When turn store 1 starts again
    And turn b continues a with "again " through gateway 1
    And turn c continues b with "third" through gateway 0
    Then the model got the prompts and outputs of a and b before "third"

  Scenario: a turn store that learns of its retirement from a watcher
    Given a fleet on the platform of which one turn store watches the store
    When turn a begins with "hello " through gateway 0
    And a turn store that does not watch is retired and is done
    Then the configuration of version 2 reaches all processes within 2 s
    And few calls of the store come from those that do not watch

  Scenario: a turn that comes while a gateway starts is answered
    When gateway 0 and all turn stores start again
    Then the first turn that gateway 0 accepts is answered

  Scenario: a request that comes while the program of a gateway loads is answered
    When gateway 0 stops and listens again before it is loaded
    And a request is sent to gateway 0, which is then loaded
    Then the request that was sent to gateway 0 is answered

  Scenario: turn stores answer at once after a loss of power
    When all turn stores begin on disks that keep only what was synced
    And all turn stores lose power
    Then each of them still knows that it had all its records

  Scenario: all processes start while the store is away
    When turn a begins with "hello " through gateway 0
    And all processes start again while the store refuses everybody
    Then the first turn that gateway 0 accepts is answered

  Scenario: a gateway that cannot be certain does not say that a turn is gone
    When turn a begins with "hello " through gateway 0
    And two turn stores stop
    Then a turn that continues an unknown one gets 503

  Scenario: a program spends no more than its budget through any gateway
    When a program with a budget of 60 tokens sends 5 turns
    Then 2 turns are answered and 3 get 402

  Scenario: an attempt that has not run gives its tokens back
    When all models refuse
    And a program with 30 tokens sends 3 turns in vain
    And all models accept again
    Then one more turn of the program is answered

  Scenario: all gateways together keep to the rate of a workspace
    When the rate is set to 10 a second with a burst of 6
    And 60 calls are sent at once through both gateways
    Then at most 6 of them run and the others get 429 with a Retry-After

  Scenario: what a server sees
    When a call carries forged headers and its key
    Then the server sees its workspace, the endpoint and the time left
    And the server sees neither the key nor the forged headers

  Scenario: a withdrawn key stops working, also while the store is away
    When the store refuses gateway 0
    And the key of the workspace is withdrawn
    Then the key gets 401 through both gateways within 3 s

  Scenario: a request that may have run is repeated only if it may be
    Then an unsafe call that breaks gets 502 and reaches one server
    And a safe call that breaks reaches two servers

  Scenario: a refusal of a server lets another one answer
    When server app-1 refuses
    Then 10 unsafe calls are answered by app-2
    When server app-2 refuses
    Then an unsafe call gets 503 with a Retry-After

  Scenario: answers of other requests and incomplete ones
    Then a call with extra answers around its own gets its own
    And calls whose answer is cut or has no seal do not look complete

  Scenario: a stream that stops until its deadline is cut and nothing follows
    When a caller reads the bytes of a stream that stalls
    Then the bytes hold one response that is not complete

  Scenario: a slow stream is passed on whole, one without progress is ended
    Then a stream with pauses of 0.6 s between its events is whole
    And a stream of a byte now and then ends incomplete at its deadline

  Scenario: a caller that leaves ends the work at the server
    When a caller leaves a held call
    Then the server sees its connection closed

  Scenario: a stop finishes what has begun and closes idle connections
    When gateway 0 is stopped while a call is held
    Then the held call is answered
    And an idle connection to gateway 0 is closed

  Scenario: a draining server gets no new requests
    When server app-1 reports that it drains
    Then soon only app-2 answers

  Scenario: a gateway that reaches no turn store says so
    When all turn stores stop
    Then gateway 0 is not ready
    And a call through gateway 0 gets 503 with a Retry-After

  Scenario: a server entry that cannot be read names no server
    When an entry without an address replaces that of app-1
    Then soon only app-2 answers

  Scenario: the history of the store is dropped
    When the store drops its history and app-1 is removed
    Then soon only app-2 answers

  @known_red
  Scenario: a gateway that is cut off from the turn stores uses another one
    When turn a begins with "hello " through gateway 0
    And gateway 0 is cut off from the turn stores
    And turn b continues a with "again " through gateway 0
    And turn c continues b with "more" through gateway 1
    Then the model got the prompts and outputs of a and b before "more"
    And gateway 0 is ready, and not ready once gateway 1 is cut off, too

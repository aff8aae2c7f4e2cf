Feature: stand-in of a model engine

  Scenario: the text depends on the messages only
    Given a stand-in engine
    Then a stream and a plain response give the text expected for its messages

  Scenario: a later turn uses the cached prefix until it is released
    Given a stand-in engine
    Then the second turn reports the first one as cached, until a release

  Scenario: closing the connection cancels
    Given a slow stand-in engine
    When a caller leaves a stream of the engine
    Then the engine journal ends with a cancel and the batch is empty

  Scenario: a text is resumed
    Given a stand-in engine
    Then resume_text continues its own text and refuses another

  Scenario: only a checking engine refuses an old fencing token
    Then an old fencing token is refused only if fencing is checked

  Scenario: malformed requests are refused in the published format
    Given a stand-in engine
    Then a chat request without messages gets a 400 with an error object

  Scenario: requests share the batch by priority, and each step costs more
    Then a batch of 2 runs 5 jobs in order of priority at a growing cost

  Scenario: a paused request leaves the batch and keeps its place in the text
    Then a paused job emits nothing until it is resumed

  Scenario: memory is limited and used entries stay
    Then the least recently used entry that is not in use is evicted
    And an entry released in use is freed when its request ends

  Scenario: reports lag
    Then load reports are old and cache events are late and have gaps

Feature: an unmodified chat-completions client library works

  Scenario: requests, streams, models and errors of real processes
    Given a small deployment of real processes and a client library
    Then a request gets the text that belongs to its messages
    And a stream delivers the same text and its usage
    And the models are listed
    And an unknown key, an unknown model and a bad body raise its own errors
    And a request above the rate raises its rate limit error with a delay

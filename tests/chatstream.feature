Feature: events of a chat response

  Scenario: events pass unchanged however the bytes are split
    Then any split of a stream passes the same bytes in whole events

  Scenario: an event without an end is not kept without limit
    Then an endless event is passed on and makes the stream not resumable

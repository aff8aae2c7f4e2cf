Feature: frames between processes

  Scenario: a message survives encoding
    Then every message class decodes to what was encoded
    And the generated code reads and writes the same bytes

  Scenario: messages of other versions and broken ones
    Then absent fields have their defaults and unknown ones are passed over
    And truncated payloads of every message are refused

  Scenario: a changed, replayed or foreign frame is refused
    Given a sealed frame
    Then the frame is refused after any single byte is changed
    And the frame is refused a second time
    And the frame is refused by a connection with another secret
    And the frame is refused in the other direction

  Scenario: an impossible frame length is refused
    Then lengths below the overhead and above the limit are refused

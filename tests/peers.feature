Feature: connections between processes

  Scenario: concurrent calls each get their own answer
    Given a peer server that answers settle messages
    When 50 calls run at once, twice over the same pool
    Then each call got the answer to its own number

  Scenario: a stream delivers all chunks in order
    Given a peer server that streams chunks
    When a stream is read to its end
    Then the chunks arrived in order and the connection is reused

  Scenario: closing a stream cancels the work at the peer
    Given a peer server that streams chunks and then only waits
    When a stream is left after the first chunk
    Then the handler was cancelled

  Scenario: closing a stream ends a handler that sends
    Given a peer server that streams chunks without end
    When a stream is left after the first chunk
    Then the handler was cancelled or its connection broke

  Scenario: a malformed frame closes only its own connection
    Given a peer server that answers settle messages
    When a stranger sends malformed bytes
    Then the stranger is disconnected and counted
    And a call still gets its answer

  Scenario: a failure of a handler is counted, as the peer cannot tell it
    # A store that failed at a number looked like one that had ended.
    Given a peer server whose handler fails
    When a call gets no answer
    Then the failure is counted

  Scenario: a message on a closed connection is an error of the connection
    Given a peer server that answers settle messages
    When a connection is closed before a message is sent
    Then sending fails like a broken connection

  Scenario Outline: a secret is exchanged without a restart
    Given a peer server that accepts <accepted>
    When a client that sends with <sent> calls
    Then the call is <outcome>

    Examples:
      | accepted | sent | outcome  |
      | old      | old  | answered |
      | old, new | old  | answered |
      | old, new | new  | answered |
      | new, old | old  | answered |
      | new      | new  | answered |
      | new      | old  | refused  |
      | old      | new  | refused  |

  Scenario: connections are exchanged with the secret
    Given a peer server that accepts old, new
    When a client that sends with old calls
    And the client changes to new and the server to new
    Then the call is answered
    And a call on a connection with old is refused

  Scenario Outline: the checks notice a broken exchange of secrets
    Given a break: <break>
    And a peer server that accepts old, new
    When a client that sends with old calls
    And the client changes to new and the server to new
    Then the exchange did not work

    Examples:
      | break                            |
      | connections outlive their secret |
      | only the first secret is tried   |

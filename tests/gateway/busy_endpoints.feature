Feature: an endpoint that is too busy to accept connections is not down

  Background:
    Given a fleet on the platform whose server accepts only one connection
    And a call that this server holds

  # Guards against calls that are refused although their server answers others,
  # and against further calls that avoid it.
  Scenario: a call takes a connection that another one has released
    When another call is sent, and the server answers the first one meanwhile
    Then both calls are answered
    And the attempt to connect is counted as not accepted
    And the server is not avoided

  # Guards against calls that wait for a server that answers nobody.
  Scenario: a server that neither accepts nor answers is avoided
    When another call is sent
    Then it is refused within 1 s
    And the server is avoided

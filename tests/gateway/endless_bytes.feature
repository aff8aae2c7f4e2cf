Feature: servers that send bytes without an end

  Scenario: a head without an end breaks the connection
    Then header lines without end are given up after 256 lines
    And one header line without end is given up after 64 KiB
    And trailers without end are given up after 64 KiB
    And interim responses without end are given up after 1 MiB
    And a response of another request without end is given up after 1 MiB
    And a late response of ordinary size is passed over

  Scenario: an event without an end breaks the stream
    Then an event without end is given up after 256 KiB
    And events without end that are kept are given up after 4 MiB

  Scenario: a server that answers one request without end
    Given a fleet on the platform
    Then calls answered by an endless head or body get 502 at once
    And a turn with an endless event ends incomplete at once
    And the servers of all these see their connections closed
    And the gateway has grown by less than 16 MB
    And the gateway serves other calls

  Scenario: an answer of the store without an end
    Then a list of the store without end is given up after 16 MiB

  Scenario: a caller that sends more headers than the rules allow
    Given a fleet on the platform
    Then a call with 20 KiB of headers gets 431 and nothing runs

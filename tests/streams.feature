Feature: registry of open requests

  Scenario: only requests of the withdrawn key end
    Given open requests with the keys of north and south and without a key
    When the key of north is withdrawn
    Then the request of north ends and the others go on

  Scenario: a key withdrawn at the end of a request hits nothing later
    Then a cut at the end of a request ends in this request

  Scenario: a disconnect during a cut is still a disconnect
    Then a request that is cut and cancelled stays cancelled

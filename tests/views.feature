Feature: views and ownership

  Scenario: removing a name moves only the keys of that name
    Then rendezvous ranks keep their order without a name

  Scenario: changes raise the epoch by one and survive encoding
    Then members are replaced and removed, each in one epoch

  Scenario: a removed endpoint is remembered until its name is listed again
    Then former members are endpoints that were removed and have not left

  Scenario: a malformed view is refused
    Then malformed views raise a frame error

  Scenario: shards are spread over entries, and only over entries
    Then every entry owns some shards and no endpoint owns any

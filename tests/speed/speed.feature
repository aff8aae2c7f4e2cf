Feature: speed comparison

  Scenario: the product and the engine alone answer the same bursts
    When rattanvalve-load speed sends one round of short requests
    Then its table has a row for the engine and one for the product
    And each row of the product states processor time of both processes

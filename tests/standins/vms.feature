Feature: stand-in of the VM list

  Scenario: the list lags
    Then a VM state set through the API is listed only after the lag

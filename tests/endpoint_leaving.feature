Feature: end of an endpoint process

  Scenario: a run that is sent while its endpoint process ends has a known outcome
    # Callers got 502, as runs were lost on connections that the process closed.
    Given an endpoint process that an entry sends runs to all the time
    When the process stops
    Then no run was lost on a connection

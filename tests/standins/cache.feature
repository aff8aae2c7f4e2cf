Feature: prefix cache of the stand-in engine

  Scenario: an entry that two requests pin is freed twice after a release
    Given a prefix that two requests pin
    When it is released and both requests end
    Then it is freed once, by the end of the second request

Feature: lookups over the configuration

  Scenario: keys lead to their workspace only
    Then the key of north belongs to north and an unknown key to nobody

  Scenario: rules match whole path segments
    Then only whole path segments match a rule

  Scenario: a sharded workspace does not exceed its rate
    Then the parts of a rate add up to no more than the whole

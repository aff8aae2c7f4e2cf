Feature: validation of the configuration

  Scenario: a valid configuration is read and written unchanged
    Then the sample configuration survives a round trip

  Scenario Outline: an invalid configuration is refused with its place
    When the sample configuration has <path> set to <content>
    Then it is refused at <place>

    Examples:
      | path                         | content            | place                                |
      | inventory.models.0.service   | "orders-app"       | $.inventory.models[0].service        |
      | inventory.keys.0.workspace   | "nobody"           | $.inventory.keys[0].workspace        |
      | inventory.workspaces.1.name  | "north"            | $.inventory.workspaces[1].name       |
      | inventory.services.0.kind    | "other"            | $.inventory.services[0].kind         |
      | inventory.services           | 3                  | $.inventory.services                 |
      | rules.rates                  | {"nobody": {"rate_per_s": 1, "burst": 1}} | $.rules.rates.nobody |
      | rules.rates                  | {"north": {"rate_per_s": 0, "burst": 1}}  | $.rules.rates[...].rate_per_s |
      | rules.rates                  | {"south": {"rate_per_s": 9, "burst": 3}}  | $.rules.rates.south.burst |
      | rules.rates                  | {"north": {"rate_per_s": 9, "burst": 1}}  | $.rules.rates.north.burst |
      | inventory.workspaces         | [{"name": "north"}, {"name": "south"}, {"name": "west", "shards": 11}] | $.inventory.workspaces[2].shards |
      | rules.colour                 | 3                  | $.rules                              |
      | rules.queue_policy           | "fastest"          | $.rules.queue_policy                 |
      | rules.placement_policy       | "nearest"          | $.rules.placement_policy             |

  Scenario: the policy names of the rules are those of the registries
    Then every registered policy is accepted and no other

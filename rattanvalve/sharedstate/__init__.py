"""State that gateways and turn stores share: rules, servers, members."""

"""State shared by gateways and turn stores: rules, servers, members."""

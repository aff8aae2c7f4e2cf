"""Stand-ins of the object store, engines, services and the VM list."""

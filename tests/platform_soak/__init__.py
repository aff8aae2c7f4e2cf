"""Soak test under faults of the programs on the users' platform."""

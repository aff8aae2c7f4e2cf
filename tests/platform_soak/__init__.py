"""Fault soak of the programs that run on the users' platform."""

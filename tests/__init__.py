"""Features, named after the modules they test, and the check runner."""

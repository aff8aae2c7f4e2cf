"""The turn store: keeps turns, token ledgers and rate shares."""

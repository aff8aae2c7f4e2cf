"""The turn store: persists turns and token ledgers, enforces rate shares."""

"""Load balancing on load reports that are shared, and therefore stale."""

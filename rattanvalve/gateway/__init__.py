"""The gateway: takes callers' requests and forwards them to endpoints."""

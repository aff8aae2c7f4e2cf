"""The gateway: accepts requests of callers and forwards them to endpoints."""

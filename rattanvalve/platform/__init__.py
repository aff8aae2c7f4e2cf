"""Adapter to the host platform: header names, formats and store client."""

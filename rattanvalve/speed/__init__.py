"""Measures latency, processor time and memory under load."""

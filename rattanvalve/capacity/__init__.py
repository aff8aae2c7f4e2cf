"""Measures growth of messages, memory and time with the size of a cell."""

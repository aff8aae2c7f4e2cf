"""Measures how messages, memory and time grow with the size of a cell."""

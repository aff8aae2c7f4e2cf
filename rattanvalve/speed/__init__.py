"""Measures the speed of the processes under load."""

"""Simulates a day of a fleet: hollow gateways connect to real control processes. See `__main__.py`."""

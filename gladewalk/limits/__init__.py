"""Limits that the decisions consult, each a small state machine without I/O: time is always an argument."""

"""Runs real directors in virtual time: an event loop, in-memory connections, one seed for all draws."""

"""Periodic tasks shared among directors: each has one owner among the live members (docs/duties.md)."""

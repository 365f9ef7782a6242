"""Duties that one director alone may hold at a time: majority-granted leases, fenced (docs/leases.md)."""

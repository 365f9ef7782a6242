"""Exclusive tasks: majority-granted leases with fencing tokens (docs/leases.md)."""

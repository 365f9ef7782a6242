"""Fault injection at numbered points where a part saves, sends, receives, operates or connects.

A run without a fault counts the points that it passes. Then the run is repeated once for each of them, with
one fault at that point, and the invariants are checked. A director doesn't import this package: the points
are in the simulations in virtual time and in the store's in-memory disk, which execute the parts' decisions.
So they have no cost in production.
"""

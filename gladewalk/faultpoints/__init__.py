"""Fault injection at numbered points: where a part saves, sends, takes, acts or dials, one fault at a time.

A run counts the points that it passes; then it is played again once for each of them with one fault there,
and the invariants are checked. A director doesn't import this package: the points lie where simulations in
virtual time, and the store's in-memory disk, carry out what the parts decide, so that they cost nothing in
service.
"""

"""Decisions on HTTP/2 upstream that do no I/O: what ran, which connection is next, what a peer may do.

Times are Unix milliseconds given by the caller. Nothing here imports a protocol library or the event loop.
"""

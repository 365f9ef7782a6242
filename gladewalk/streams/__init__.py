"""Decisions on HTTP/2 connections to servers that need no I/O (RFC 9113).

Whether a request was processed, which connection takes the next one, which protocol is offered, and limits on
what a server may send. Times are Unix milliseconds given by the caller. Nothing here imports a protocol
library or the event loop.
"""

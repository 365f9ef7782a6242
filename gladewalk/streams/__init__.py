"""Decisions about HTTP/2 connections to servers, without I/O (RFC 9113).

The modules decide whether a request was processed, which connection carries the next request, which protocol
is offered to a server, and when a connection is checked by a PING. Times are Unix milliseconds given by the
caller. Nothing here imports a protocol library or the event loop.
"""

"""Membership of directors: a SWIM failure detector with Lifeguard's extensions and confirmation probes.

`swim` implements the protocol without I/O; `transport` and `stream` run it on UDP and TCP sockets. `messages`
defines the wire format, and `authenticator` signs and verifies it. Design note: docs/members.md.
"""

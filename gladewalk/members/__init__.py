"""Membership of directors: a SWIM failure detector with Lifeguard's extensions and confirmation probes.

`swim` is the protocol without I/O and composes the parts; `transport` and `stream` carry it on sockets;
`messages` is the wire format and `authenticator` guards it. Design note: docs/members.md.
"""

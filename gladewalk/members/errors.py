"""Exceptions of membership."""

from __future__ import annotations


class MembershipError(Exception):
    """Base of all errors that membership raises."""


class MalformedMessageError(MembershipError):
    """A received message does not decode: of another version, or no message between members at all."""

"""Exceptions of membership."""

from __future__ import annotations

from ..errors import GladewalkError


class MembershipError(GladewalkError):
    """Base of all errors that membership raises."""


class MalformedMessageError(MembershipError):
    """A received message does not decode: of another version, or no message between members at all."""


class MessageTooLargeError(MembershipError):
    """A message to be sent exceeds its transport's limit."""

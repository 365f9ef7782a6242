"""Exceptions of membership."""

from __future__ import annotations

from ..errors import GladewalkError


class MembershipError(GladewalkError):
    """Base of all errors that membership raises."""


class MalformedMessageError(MembershipError):
    """A received message does not decode: of another version, or no message between members at all."""


class MessageTooLargeError(MembershipError):
    """A message to be sent exceeds its transport's limit."""


class PeerDroppedError(MembershipError):
    """A peer's stream is not read any further; `reason` is the last part of its counter."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason

    @property
    def counter(self) -> str:
        """Name of the counter for this reason."""
        return f"members.dropped.{self.reason}"

"""Exceptions of the membership protocol."""

from __future__ import annotations

from ..errors import GladewalkError


class MembershipError(GladewalkError):
    """Base class of all errors that the membership protocol raises."""


class MalformedMessageError(MembershipError):
    """A received message can't be decoded: it has another version, or is no message between members."""


class MessageTooLargeError(MembershipError):
    """An outgoing message exceeds the size limit of its transport."""


class PeerDroppedError(MembershipError):
    """A peer's stream is disconnected; `reason` is the last part of the name of the counter."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason

    @property
    def counter(self) -> str:
        """Name of the counter for this reason."""
        return f"members.dropped.{self.reason}"

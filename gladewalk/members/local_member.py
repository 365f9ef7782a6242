"""The local member: its own update, which is gossiped to the others, and its health."""

from __future__ import annotations

import msgspec

from .actions import Address
from .local_health import LocalHealth
from .messages import MemberState, MemberUpdate


class LocalMember:
    """Owns the local member's update; no other object may change its incarnation or state."""

    def __init__(self, update: MemberUpdate) -> None:
        self.update = update
        self.health = LocalHealth()

    @property
    def name(self) -> str:
        """Name of the local member."""
        return self.update.name

    @property
    def run_id(self) -> int:
        """Id of this run of the process."""
        return self.update.run_id

    @property
    def address(self) -> Address:
        """Address at which the local member listens."""
        return self.update.host, self.update.port

    def bind_port(self, port: int) -> None:
        """Sets the port that the operating system chose."""
        self.update = msgspec.structs.replace(self.update, port=port)

    def refute(self, incarnation: int) -> None:
        """Raises the incarnation above that of a false update of the local member."""
        self.update = msgspec.structs.replace(self.update, incarnation=incarnation + 1)

    def leave(self) -> None:
        """Sets the state to LEFT, under a new incarnation."""
        incarnation = self.update.incarnation + 1
        self.update = msgspec.structs.replace(self.update, incarnation=incarnation, state=MemberState.LEFT)

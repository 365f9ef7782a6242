"""The ledger of what a director holds for its peers, in bytes as they cost, over all connections.

Each kind of holder has an account with a limit of its own (`limits.memory_plan`). Whoever keeps bytes for a
peer charges them to an account and releases them; what happens over a limit is decided by the account's
user: reading is paused, or requests are rejected.
"""

from __future__ import annotations

from collections.abc import Callable

from ..limits.memory_plan import MemoryPlan


class MemoryAccount:
    """The bytes held by one kind of holder.

    Attributes:
        limit_bytes: What may be held.
        used_bytes: What is held now.
        peak_bytes: The most that was held.
        on_release: Called after each release, for example to resume readers that wait for room.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = self.peak_bytes = 0
        self.on_release: list[Callable[[], None]] = []

    @property
    def is_over(self) -> bool:
        """Whether more is held than may be."""
        return self.used_bytes > self.limit_bytes

    def has_room(self, count: int) -> bool:
        """Whether `count` more bytes may be held; always true while nothing is held."""
        return self.used_bytes + count <= self.limit_bytes or self.used_bytes == 0

    def charge(self, count: int) -> None:
        """Adds bytes that are held; a negative count removes them without a call of `on_release`."""
        self.used_bytes += count
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)

    def release(self, count: int) -> None:
        """Removes bytes that are no longer held."""
        self.used_bytes -= count
        for call in self.on_release:
            call()


class MemoryLedger:
    """The accounts of one process."""

    def __init__(self, plan: MemoryPlan) -> None:
        self.plan = plan
        self.client_input = MemoryAccount(plan.client_input_bytes)
        self.responses = MemoryAccount(plan.response_bytes)

    def configure(self, plan: MemoryPlan) -> None:
        """Applies changed limits; what is held already stays until it is released or rejected."""
        self.plan = plan
        self.client_input.limit_bytes = plan.client_input_bytes
        self.responses.limit_bytes = plan.response_bytes

    def report(self) -> dict[str, int]:
        """Returns what is held by each kind of holder, the most that was held, and the limits."""
        accounts = {"client_input": self.client_input, "responses": self.responses}
        return {
            f"memory.{name}.{kind}": count
            for name, account in accounts.items()
            for kind, count in (
                ("held", account.used_bytes),
                ("peak", account.peak_bytes),
                ("limit", account.limit_bytes),
            )
        }

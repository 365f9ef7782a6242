"""Limits the memory that the input of all clients takes: over the limit, the largest input is rejected."""

from __future__ import annotations

import heapq
from collections.abc import Collection
from typing import Protocol

from ..core.memory_ledger import MemoryAccount

LARGEST_COUNT = 3


class InputHolder(Protocol):
    """A connection as far as its input takes memory."""

    charged_bytes: int

    def can_reject_input(self) -> bool:
        """Whether it holds input that can be rejected without harm."""

    def reject_input(self) -> None:
        """Rejects that input."""


class InputLimit:
    """Charges clients' input to its account of the ledger."""

    def __init__(self, account: MemoryAccount, connections: Collection[InputHolder]) -> None:
        self._account, self._connections = account, connections
        self._is_freeing = False

    def charge(self, change: int) -> None:
        """Records a change of the memory that input takes; over the limit, rejects the largest input."""
        self._account.charge(change)
        if self._is_freeing or not self._account.is_over:
            return
        self._is_freeing = True  # rejecting input changes the charge of its connection
        while self._account.is_over and (largest := self._largest()) is not None:
            largest.reject_input()
        self._is_freeing = False

    def largest_inputs(self) -> list[int]:
        """Returns the bytes that the connections with the most input hold, the largest first."""
        held = (connection.charged_bytes for connection in self._connections)
        return heapq.nlargest(LARGEST_COUNT, held)

    def _largest(self) -> InputHolder | None:
        """Returns the connection with the most input that can be rejected; of equal ones the oldest."""
        candidates = [connection for connection in self._connections if connection.can_reject_input()]
        return max(candidates, key=lambda connection: connection.charged_bytes, default=None)

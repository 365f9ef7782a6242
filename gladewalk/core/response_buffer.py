"""Responses held whole before their first byte goes to a client, within a budget of memory.

The invariant of the exchange: bytes of a response go to a client only when the director can finish it. A
response that breaks off, stalls or comes too late is never seen by the client, and its request still gets
another attempt or a final answer of the director's own.

The budget never cuts a response: one for which there is no room waits with its server's connection paused
(backpressure), and goes on in order of arrival as room is made. A response is admitted with its full size, so
that each admitted one can be completed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .exchange_types import Attempt, ResponseHead

MAX_OBJECT_BYTES = 240_000
"""The largest object: a longer response is invalid, one of unknown length reserves as much of the budget."""

PROGRAM_MB = 30.0
"""Memory that a director needs beside the responses it holds."""

BUDGET_FRACTION = 0.25
"""Part of the memory over `PROGRAM_MB` that responses may take."""

MIN_BUDGET_BYTES = 1_000_000
MAX_BUDGET_BYTES = 64_000_000
BYTES_PER_MB = 1_000_000


def budget_bytes(memory_limit_mb: float) -> int:
    """Returns how many bytes of responses may be held under a limit on the process's memory."""
    spare_bytes = (memory_limit_mb - PROGRAM_MB) * BYTES_PER_MB * BUDGET_FRACTION
    return int(min(MAX_BUDGET_BYTES, max(MIN_BUDGET_BYTES, spare_bytes)))


@dataclass(slots=True, eq=False)
class ResponseBuffer:
    """The response of one attempt, as much of it as has arrived.

    Attributes:
        head: Its head.
        pieces: Its body, in the order of arrival.
        reserved_bytes: What it has of the budget; 0 while it waits for room.
    """

    head: ResponseHead
    pieces: list[bytes] = field(default_factory=list)
    reserved_bytes: int = 0

    def needed_bytes(self) -> int:
        """Returns what the whole body may take."""
        if self.head.is_not_modified:
            return 0
        length = self.head.content_length
        return MAX_OBJECT_BYTES if length is None else length

    def received_bytes(self) -> int:
        """Returns how many bytes of the body have arrived."""
        return sum(map(len, self.pieces))


class ResponseBudget:
    """Bounds the bytes of all responses that are held, until their clients have taken them."""

    def __init__(self, limit_bytes: int, set_reading: Callable[[Attempt, bool], None]) -> None:
        """`set_reading` pauses (False) or resumes reading an attempt's response."""
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.waiting: dict[Attempt, ResponseBuffer] = {}  # paused, in order of arrival
        self._set_reading = set_reading

    def admit(self, attempt: Attempt, response: ResponseBuffer) -> bool:
        """Reserves a response's size, or pauses it until there is room; returns whether it was admitted."""
        if not self.waiting and self._reserve(response):
            return True
        self.waiting[attempt] = response
        self._set_reading(attempt, False)
        return False

    def withdraw(self, attempt: Attempt) -> None:
        """Ends the wait of an attempt that has ended."""
        self.waiting.pop(attempt, None)

    def release(self, response: ResponseBuffer) -> None:
        """Gives a response's bytes back; what waits for room goes on."""
        self.used_bytes -= response.reserved_bytes
        response.reserved_bytes = 0
        while self.waiting:
            attempt, next_response = next(iter(self.waiting.items()))
            if not self._reserve(next_response):
                return
            del self.waiting[attempt]
            self._set_reading(attempt, True)

    def _reserve(self, response: ResponseBuffer) -> bool:
        needed = response.needed_bytes()
        if self.used_bytes + needed > self.limit_bytes and self.used_bytes > 0:
            return False  # alone, one of any size is admitted
        self.used_bytes += needed
        response.reserved_bytes = needed
        return True

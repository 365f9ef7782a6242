"""Buffers whole responses within a memory budget; sending one to a client starts when it is complete.

Invariant of the exchange: bytes of a response are sent to a client only when the director can finish it.
The client sees nothing of a response that breaks off, stalls or misses its deadline, and its request still
gets another attempt or a final answer from the director.

The budget never truncates a response. If there is no room for a response, the director pauses reading from
the server's connection (backpressure) and resumes in order of arrival as room becomes available. A response
reserves its full size when it is admitted, so that each admitted response can be completed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .memory_ledger import MemoryAccount

if TYPE_CHECKING:
    from .exchange_types import Attempt, ResponseHead

MAX_OBJECT_BYTES = 240_000
"""The largest object. A longer response is invalid; a response of unknown length reserves this size."""


MIN_PIECE_BYTES = 4 * 1024
"""Pieces of a body are joined until they have this size."""


@dataclass(slots=True, eq=False)
class ResponseBuffer:
    """The part of one attempt's response that has been received so far.

    Attributes:
        head: The head of the response.
        pieces: The body as far as it was received; small pieces are joined as they arrive.
        reserved_bytes: Bytes reserved in the budget; 0 while the response waits for room.
    """

    head: ResponseHead
    pieces: list[bytes | bytearray] = field(default_factory=list)
    reserved_bytes: int = 0

    def needed_bytes(self) -> int:
        """Returns the largest size that the whole body may have."""
        if self.head.is_not_modified:
            return 0
        length = self.head.content_length
        return MAX_OBJECT_BYTES if length is None else length

    def received_bytes(self) -> int:
        """Returns how many bytes of the body have been received."""
        return sum(map(len, self.pieces))

    def add(self, data: bytes) -> None:
        """Adds a piece of the body; a peer that sends tiny pieces does not make each of them an object."""
        if len(data) >= MIN_PIECE_BYTES or not self.pieces or len(self.pieces[-1]) >= MIN_PIECE_BYTES:
            self.pieces.append(data)
        elif isinstance(last := self.pieces[-1], bytearray):
            last += data
        else:
            self.pieces[-1] = bytearray(last) + data

    def take_body(self) -> bytes:
        """Returns the body and keeps nothing of it."""
        body = b"".join(self.pieces)
        self.pieces.clear()
        return body


class ResponseBudget:
    """Limits the total size of buffered responses; a response counts until its client has taken it.

    Several exchanges may share one account.
    """

    def __init__(self, account: MemoryAccount, set_reading: Callable[[Attempt, bool], None]) -> None:
        """`set_reading` pauses (False) or resumes (True) reading an attempt's response."""
        self.waiting: dict[Attempt, ResponseBuffer] = {}  # paused responses, in order of arrival
        self._set_reading = set_reading
        self.account = account
        account.on_release.append(self._resume_waiting)

    def admit(self, attempt: Attempt, response: ResponseBuffer) -> bool:
        """Reserves a response's size, or pauses the response until there is room; True if it was admitted."""
        if not self.waiting and self._reserve(response):
            return True
        self.waiting[attempt] = response
        self._set_reading(attempt, False)
        return False

    def withdraw(self, attempt: Attempt) -> None:
        """Removes an attempt that has ended from those that wait for room."""
        self.waiting.pop(attempt, None)

    def release(self, response: ResponseBuffer) -> None:
        """Returns a response's bytes to the account and resumes waiting responses that now have room."""
        count, response.reserved_bytes = response.reserved_bytes, 0
        self.account.release(count)

    def _resume_waiting(self) -> None:
        while self.waiting:
            attempt, next_response = next(iter(self.waiting.items()))
            if not self._reserve(next_response):
                return
            del self.waiting[attempt]
            self._set_reading(attempt, True)

    def _reserve(self, response: ResponseBuffer) -> bool:
        needed = response.needed_bytes()
        if not self.account.has_room(needed):
            return False  # a response of any size is admitted if no other is buffered
        self.account.charge(needed)
        response.reserved_bytes = needed
        return True

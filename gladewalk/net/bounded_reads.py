"""Reads of a bounded size, and turns for connections whose peers send more than one read holds.

A transport reads for as long as its socket has input, and passes on what it has read in one piece. A peer
that sends at full speed would so hold up all others. Here a read holds a bounded number of bytes, and large
reads have a bounded time in each event-loop iteration, all connections together. A connection that has more
to read waits for its turn then: the next iterations' time goes to those that wait, in the order in which they
came (round robin).
"""

from __future__ import annotations

import asyncio
import time
from abc import abstractmethod
from collections import deque

READ_BYTES = 16 * 1024
SLICE_BYTES = 16 * 1024  # of a read that is handled before the time is looked at
LARGE_READS_MS = 1.5  # for large reads in one event-loop iteration; a request takes some five iterations


class ReadTurns:
    """The connections that wait for their turn to read, and the time that large reads take."""

    def __init__(self, read_bytes: int = READ_BYTES) -> None:
        """`read_bytes` is the size of one read of each connection."""
        self.buffer = memoryview(bytearray(read_bytes))  # shared: a read is copied before the next one begins
        self._waiting: deque[BoundedReads] = deque()
        self._used_s = 0.0
        self._is_measuring = False
        self._is_scheduled = False

    @property
    def is_exhausted(self) -> bool:
        """Whether large reads have taken their time in this event-loop iteration."""
        return self._used_s * 1_000.0 > LARGE_READS_MS

    def record(self, duration_s: float) -> None:
        """Adds the time that a large read, or a slice of it, has taken."""
        self._used_s += duration_s
        if not self._is_measuring:
            self._is_measuring = True
            asyncio.get_running_loop().call_soon(self._end_iteration)

    def _end_iteration(self) -> None:
        self._used_s, self._is_measuring = 0.0, False

    def wait(self, connection: BoundedReads) -> None:
        """Has a connection wait for its turn; its `take_turn` is called then."""
        self._waiting.append(connection)
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._give_turns)

    def _give_turns(self) -> None:
        """Gives the waiting connections their turns, until large reads have taken the iteration's time."""
        self._is_scheduled = False
        for _ in range(len(self._waiting)):
            if self.is_exhausted:
                break
            self._waiting.popleft().take_turn()
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._give_turns)


class BoundedReads(asyncio.BufferedProtocol):
    """A protocol whose reads are bounded; `data_received` gets what was read.

    Attributes:
        transport: The transport while the connection is open.
        is_waiting_for_turn: Whether reading is paused until the connection's turn comes.
    """

    def __init__(self, read_turns: ReadTurns) -> None:
        self.transport: asyncio.Transport | None = None
        self.is_waiting_for_turn = False
        self._read_turns = read_turns
        self._unhandled = b""  # what was read and waits for the connection's turn

    @abstractmethod
    def data_received(self, data: bytes) -> None:
        """Handles what was read."""

    @abstractmethod
    def wants_input(self) -> bool:
        """Whether the connection reads, apart from its turn."""

    @property
    def has_unhandled_read(self) -> bool:
        """Whether something was read that waits for the connection's turn."""
        return bool(self._unhandled)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer that the transport reads into."""
        return self._read_turns.buffer

    def slice_bytes(self) -> int:
        """Returns how much of a large read is handled before the time is looked at."""
        return SLICE_BYTES

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on what was read; what has no time in this iteration waits for the connection's turn."""
        data = bytes(self._read_turns.buffer[:nbytes])
        if nbytes < SLICE_BYTES:
            self.data_received(data)
        elif self._read_turns.is_exhausted:
            self._unhandled = data
            self.wait_for_turn()
        else:
            self._handle_large_read(data)

    def _handle_large_read(self, data: bytes) -> None:
        """Handles a large read in slices; keeps the rest of it once the time of the iteration is used up."""
        begin = 0
        while begin < len(data) and self.transport is not None and not self.transport.is_closing():
            started_s = time.perf_counter()
            end = begin + self.slice_bytes()
            self.data_received(data[begin:end])
            begin = end
            self._read_turns.record(time.perf_counter() - started_s)
            if self._read_turns.is_exhausted:
                self._unhandled = data[begin:]
                self.wait_for_turn()
                return

    def wait_for_turn(self) -> None:
        """Pauses reading until the other connections that wait have had their turns."""
        if self.transport is None or self.transport.is_closing() or self.is_waiting_for_turn:
            return
        self.is_waiting_for_turn = True
        self.transport.pause_reading()
        self._read_turns.wait(self)

    def take_turn(self) -> None:
        """Continues with what was read before, and reads on once that is handled."""
        self.is_waiting_for_turn = False
        data, self._unhandled = self._unhandled, b""
        if data:
            self._handle_large_read(data)
        self.resume_reading()

    def resume_reading(self) -> None:
        """Has the transport read, unless the connection waits for its turn or wants no input."""
        if self.transport is None or self.transport.is_closing() or self.is_waiting_for_turn:
            return
        if self.wants_input():
            self.transport.resume_reading()

"""Reads of a bounded size, and turns for connections whose peers send more than one read holds.

A transport reads for as long as its socket has input, and passes on what it has read in one piece. A peer
that sends at full speed would so hold up all others. Here a read holds at most `READ_BYTES`. A connection
whose read was full waits for its turn: in each event-loop iteration one waiting connection may read again,
in the order in which they came (round robin).
"""

from __future__ import annotations

import asyncio
import time
from abc import abstractmethod
from collections import deque

READ_BYTES = 16 * 1024
SLICE_BYTES = 16 * 1024  # of a read that is handled before the time is looked at
READ_BUDGET_MS = 2.0  # for one connection's read; the rest of it waits for the connection's turn
FULL_READS_MS = 3.0  # time for full reads in one event-loop iteration, until further ones wait for their turn


class ReadTurns:
    """The connections that wait for their turn to read, and the time that full reads take."""

    def __init__(self) -> None:
        self._waiting: deque[BoundedReads] = deque()
        self._used_s = 0.0
        self._is_measuring = False

    @property
    def is_exhausted(self) -> bool:
        """Whether full reads have taken their time in this event-loop iteration."""
        return self._used_s * 1_000.0 > FULL_READS_MS

    def record_full_read(self, duration_s: float) -> None:
        """Adds the time that a full read has taken."""
        self._used_s += duration_s
        if not self._is_measuring:
            self._is_measuring = True
            asyncio.get_running_loop().call_soon(self._end_iteration)

    def _end_iteration(self) -> None:
        self._used_s, self._is_measuring = 0.0, False

    def wait(self, connection: BoundedReads) -> None:
        """Has a connection wait for its turn; its `take_turn` is called then."""
        self._waiting.append(connection)
        if len(self._waiting) == 1:
            asyncio.get_running_loop().call_soon(self._give_turn)

    def _give_turn(self) -> None:
        connection = self._waiting.popleft()
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._give_turn)
        connection.take_turn()


class BoundedReads(asyncio.BufferedProtocol):
    """A protocol whose reads are bounded; `data_received` gets what was read.

    Attributes:
        transport: The transport while the connection is open.
        is_waiting_for_turn: Whether reading is paused until the connection's turn comes.
    """

    read_buffer = memoryview(bytearray(READ_BYTES))  # shared: a read is copied before the next one begins

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
        return self.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on what was read; after a full read the connection waits for its turn."""
        data = bytes(self.read_buffer[:nbytes])
        is_full = nbytes == len(self.read_buffer)
        if not is_full and nbytes <= SLICE_BYTES:
            self.data_received(data)
            return
        if self._read_turns.is_exhausted:
            self._unhandled = data
        else:
            self._handle_read(data)
        if is_full or self._unhandled:
            self.wait_for_turn()

    def _handle_read(self, data: bytes) -> None:
        """Handles a large read in slices, within its time; keeps the rest of it."""
        started_s = time.perf_counter()
        used_s = 0.0
        for begin in range(0, len(data), SLICE_BYTES):
            if self.transport is None or self.transport.is_closing():
                break
            if used_s * 1_000.0 > READ_BUDGET_MS:
                self._unhandled = data[begin:]
                break
            self.data_received(data[begin : begin + SLICE_BYTES])
            used_s = time.perf_counter() - started_s
        self._read_turns.record_full_read(used_s)

    def wait_for_turn(self) -> None:
        """Pauses reading until the other connections that wait have had their turns."""
        if self.transport is None or self.transport.is_closing() or self.is_waiting_for_turn:
            return
        self.is_waiting_for_turn = True
        self.transport.pause_reading()
        self._read_turns.wait(self)

    def take_turn(self) -> None:
        """Continues to read."""
        self.is_waiting_for_turn = False
        data, self._unhandled = self._unhandled, b""
        if data:
            self._handle_read(data)
            self.wait_for_turn()
        else:
            self.resume_reading()

    def resume_reading(self) -> None:
        """Has the transport read, unless the connection waits for its turn or wants no input."""
        if self.transport is None or self.transport.is_closing() or self.is_waiting_for_turn:
            return
        if self.wants_input():
            self.transport.resume_reading()

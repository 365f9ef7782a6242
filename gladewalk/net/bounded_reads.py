"""Reads of a bounded size, and turns for connections whose peers send more than one read holds.

A transport reads for as long as its socket has input, and passes on what it has read in one piece. A peer
that sends at full speed would so hold up all others. Here a read holds at most `READ_BYTES`. A connection
whose read was full waits for its turn: in each event-loop iteration one waiting connection may read again,
in the order in which they came (round robin).
"""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from collections import deque

READ_BYTES = 16 * 1024


class ReadTurns:
    """The connections that wait for their turn to read."""

    def __init__(self) -> None:
        self._waiting: deque[BoundedReads] = deque()

    def wait(self, connection: BoundedReads) -> None:
        """Has a connection wait for its turn; it is called by `continue_reading`."""
        self._waiting.append(connection)
        if len(self._waiting) == 1:
            asyncio.get_running_loop().call_soon(self._give_turn)

    def _give_turn(self) -> None:
        self._waiting[0].take_turn()
        self._waiting.popleft()
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._give_turn)


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

    @abstractmethod
    def data_received(self, data: bytes) -> None:
        """Handles what was read."""

    @abstractmethod
    def wants_input(self) -> bool:
        """Whether the connection reads, apart from its turn."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer that the transport reads into."""
        return self.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on what was read; after a full read the connection waits for its turn."""
        self.data_received(bytes(self.read_buffer[:nbytes]))
        if nbytes == len(self.read_buffer):
            self.wait_for_turn()

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
        self.resume_reading()

    def resume_reading(self) -> None:
        """Has the transport read, unless the connection waits for its turn or wants no input."""
        if self.transport is None or self.transport.is_closing() or self.is_waiting_for_turn:
            return
        if self.wants_input():
            self.transport.resume_reading()

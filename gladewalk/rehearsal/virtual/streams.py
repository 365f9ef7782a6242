"""Byte streams in memory that split, delay, stall, reset and half-close as sockets do.

What is written leaves in pieces of any size, comes in order after the path's time, waits with the receiver
while it does not read, and counts against the writer's buffer until it has been read.
"""

from __future__ import annotations

import asyncio
import contextvars
import select
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, cast

from ...net.sockets import READABLE_EVENTS

if TYPE_CHECKING:
    from .loop import VirtualLoop

HIGH, LOW = 64 * 1024, 16 * 1024  # bytes that a writer may have out before it is paused, and is resumed
WINDOW = 256 * 1024  # bytes of the system's own buffers, which a writer does not see
APART_S = 1e-6  # pieces come one by one
PIECE_MOST = 64 * 1024  # bytes that come at once
SPLIT_CHANCE = 0.2  # that a write comes in two pieces

EOF, RESET = "eof", "reset"
Piece = bytes | str


class Unread:
    """`net.sockets.SocketPoll` of a virtual transport."""

    def __init__(self, transport: VirtualTransport) -> None:
        self.transport = transport

    def poll(self, timeout: float | None = None, /) -> list[tuple[int, int]]:
        inbox = self.transport.inbox
        if self.transport.ended or EOF in inbox or RESET in inbox:
            return [(0, READABLE_EVENTS)]
        return [(0, select.POLLIN)] if inbox else []


class VirtualTransport(asyncio.Transport):
    """One end of a connection; `other` is its other end once both are there."""

    def __init__(self, loop: VirtualLoop, number: int, here: str, there: str, names: dict[str, Any]) -> None:
        super().__init__({**names, "unread": Unread(self)})
        self.loop, self.number, self.here, self.there = loop, number, here, there
        self.other: VirtualTransport | None = None
        self.protocol: asyncio.BaseProtocol | None = None
        self.context = contextvars.copy_context()  # in which its protocol is called: its own party's
        self.inbox: deque[Piece] = deque()  # has come, and is not read yet
        self.held: deque[Piece] = deque()  # sent, and held back by a path that is cut
        self.out = 0  # bytes written that the other end has not read
        self.arrives = 0.0  # when the last piece that was sent comes, so that none passes another
        self.reading, self.writing = True, True
        self.closing = self.ended = self.lost = self.half = self.full = False
        self.high, self.low = HIGH, LOW

    def start(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol, self.context = protocol, contextvars.copy_context()
        protocol.connection_made(self)
        self._read()

    # What is written.

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self.half:
            raise RuntimeError("Cannot call write() after write_eof()")
        if self.closing or not data:
            return
        whole = bytes(data)
        self.out += len(whole)
        while whole:
            most = min(len(whole), PIECE_MOST)
            cut = self.loop.random.randrange(1, most) if self._splits(most) else most
            self._post(whole[:cut])
            whole = whole[cut:]
        if not self.full and self.get_write_buffer_size() > self.high:
            self.full = True
            cast(asyncio.Protocol, self.protocol).pause_writing()

    def _splits(self, size: int) -> bool:
        return size > 1 and self.loop.random.random() < SPLIT_CHANCE

    def _post(self, piece: Piece) -> None:
        wait = self.loop.paths.wait_ms(self.here, self.there) / 1000.0
        self.arrives = max(self.arrives + APART_S, self.loop.time() + wait)
        self.loop.note("sent", self.number, self.here, self.there, piece)
        self.loop.call_at(self.arrives, self._arrive, piece)

    def _arrive(self, piece: Piece) -> None:
        """It comes to the other end, or once the path passes anything again; who is there reads it."""
        self.held.append(piece)
        if len(self.held) == 1:
            self._pass()

    def _pass(self) -> None:
        if self.loop.paths.cut(self.here, self.there):
            self.loop.call_later(0.05, self._pass)  # as a system that sends it again
            return
        assert self.other is not None
        while self.held:
            self.loop.call_soon(self._land, self.held.popleft(), context=self.other.context)

    def _land(self, piece: Piece) -> None:
        other = self.other
        assert other is not None
        if other.ended or other.lost:
            if isinstance(piece, bytes):  # nobody is there to read it
                error = ConnectionResetError("reset by peer")
                self.loop.call_soon(self._break, error, context=self.context)
        else:
            self.loop.note("came", self.number, self.here, self.there, piece)
            other.inbox.append(piece)
            other._read()

    # What is read.

    def _read(self) -> None:
        while self.inbox and self.protocol is not None and not self.lost:
            piece = self.inbox[0]
            if piece == RESET:
                return self._break(ConnectionResetError("reset by peer"))
            if not self.reading or self.closing:
                return
            self.inbox.popleft()
            if isinstance(piece, bytes):
                if self.other is not None:
                    self.other._taken(len(piece))
                cast(asyncio.Protocol, self.protocol).data_received(piece)
            elif not cast(asyncio.Protocol, self.protocol).eof_received():
                self.close()

    def _taken(self, size: int) -> None:
        self.out -= size
        if self.full and self.get_write_buffer_size() <= self.low and not self.lost:
            self.full = False
            resume = cast(asyncio.Protocol, self.protocol).resume_writing
            self.loop.call_soon(resume, context=self.context)

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        if not self.reading:
            self.reading = True
            self.loop.call_soon(self._read, context=self.context)

    def is_reading(self) -> bool:
        return self.reading

    # Ends.

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        if not self.half and not self.closing:
            self.half = True
            self._post(EOF)

    def close(self) -> None:
        if self.closing:
            return
        if not self.half:
            self._post(RESET if any(isinstance(p, bytes) for p in self.inbox) else EOF)
        self.closing = True
        self.loop.call_soon(self._break, None, context=self.context)

    def abort(self) -> None:
        if not self.closing:
            self.closing = True
            self._post(RESET)
        self.loop.call_soon(self._break, None, context=self.context)

    def _break(self, error: Exception | None) -> None:
        if self.lost:
            return
        self.closing = self.ended = self.lost = True
        self.loop.note("lost", self.number, self.here, self.there, type(error).__name__)
        if self.protocol is not None:
            self.protocol.connection_lost(error)

    def is_closing(self) -> bool:
        return self.closing

    def get_write_buffer_size(self) -> int:
        return max(0, self.out - WINDOW)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return self.low, self.high

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self.high = HIGH if high is None else high
        self.low = self.high // 4 if low is None else low

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        assert self.protocol is not None
        return self.protocol


def connect(
    loop: VirtualLoop, number: int, here: str, there: str, address: tuple[str, int], source: tuple[str, int]
) -> tuple[VirtualTransport, VirtualTransport]:
    """Both ends of a new connection; neither has its protocol yet."""
    near = VirtualTransport(loop, number, here, there, {"peername": address, "sockname": source})
    far = VirtualTransport(loop, number, there, here, {"peername": source, "sockname": address})
    near.other, far.other = far, near
    return near, far


class Waiting:
    """A connection that waits to be accepted; stands for the socket that `accept` returns."""

    def __init__(self, far: VirtualTransport) -> None:
        self.far = far

    def setsockopt(self, *given: Any) -> None:
        """There is no Nagle here."""


class VirtualListener:
    """`net.environment.Listener` in memory: a queue of those who connected."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.queue: deque[Waiting] = deque()
        self.ready: Callable[[], None] | None = None  # what the loop calls while somebody waits
        self.closed = False

    def accept(self) -> tuple[Waiting, tuple[str, int]]:
        if not self.queue:
            raise BlockingIOError
        waiting = self.queue.popleft()
        return waiting, waiting.far.get_extra_info("peername")

    def close(self) -> None:
        self.closed = True
        while self.queue:
            self.queue.popleft().far.abort()

    def getsockname(self) -> tuple[str, int]:
        return self.address

    def fileno(self) -> int:
        return -1

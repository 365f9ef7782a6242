"""Byte streams in memory that split, delay, stall, reset and half-close as TCP connections do.

What is written leaves in pieces of any size, arrives in order after the network's delay, waits at the
receiver while it does not read, and counts against the writer's buffer until it has been read.
"""

from __future__ import annotations

import asyncio
import contextvars
import select
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, cast

from ...config.platform import Address
from ...net.sockets import READABLE_EVENTS

if TYPE_CHECKING:
    from .loop import VirtualLoop

HIGH_WATER_BYTES = 64 * 1024  # unread bytes at which a writer is paused
LOW_WATER_BYTES = 16 * 1024  # unread bytes at which it is resumed
KERNEL_BUFFER_BYTES = 256 * 1024  # of both sockets, which a writer does not see
MAX_PIECE_BYTES = 64 * 1024  # that arrive at once
SPLIT_PROBABILITY = 0.2  # that a write arrives in two pieces
MIN_SPACING_S = 1e-6  # between two pieces
RETRANSMIT_S = 0.05  # while the direction is cut

EOF, RESET = "eof", "reset"
Piece = bytes | str  # data, or one of the two ends


class VirtualSocketPoll:
    """The readiness of a virtual transport, as `net.sockets.SocketPoll`."""

    def __init__(self, transport: VirtualTransport) -> None:
        self._transport = transport

    def poll(self, timeout: float | None = None, /) -> list[tuple[int, int]]:
        """Returns what the transport's socket would be ready for."""
        inbox = self._transport.inbox
        if self._transport.is_lost or EOF in inbox or RESET in inbox:
            return [(0, READABLE_EVENTS)]
        return [(0, select.POLLIN)] if inbox else []


class VirtualTransport(asyncio.Transport):
    """One end of a connection; `peer` is its other end.

    Args:
        loop: Gives time, delays and the trace.
        connection_id: The connection's number in the trace.
        sender: The host at this end.
        receiver: The host at the other end.
        extra: What `get_extra_info` returns.
    """

    def __init__(
        self, loop: VirtualLoop, connection_id: int, sender: str, receiver: str, extra: dict[str, Any]
    ) -> None:
        super().__init__({**extra, "unread": VirtualSocketPoll(self)})
        self._loop, self._connection_id = loop, connection_id
        self._sender, self._receiver = sender, receiver
        self.peer: VirtualTransport | None = None
        self.inbox: deque[Piece] = deque()  # arrived and unread
        self.is_lost = False  # the protocol has been told of the end
        self._protocol: asyncio.BaseProtocol | None = None
        self._context = contextvars.copy_context()  # of the protocol's callbacks: its own host's
        self._in_flight: deque[Piece] = deque()  # sent, and held back while the direction is cut
        self._unread_bytes = 0  # written, and not yet read by the other end
        self._last_arrival_s = 0.0  # of what was sent, so that no piece overtakes another
        self._is_reading = True
        self._is_closing = self._has_written_eof = self._is_writing_paused = False
        self._high_water, self._low_water = HIGH_WATER_BYTES, LOW_WATER_BYTES

    def start(self, protocol: asyncio.BaseProtocol) -> None:
        """Connects the protocol, which is called in the caller's context from now on."""
        self._protocol, self._context = protocol, contextvars.copy_context()
        protocol.connection_made(self)
        self._read_inbox()

    # Writing.

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Sends bytes in pieces, and pauses the writer over the high-water mark.

        Raises:
            RuntimeError: The end has been written.
        """
        if self._has_written_eof:
            raise RuntimeError("Cannot call write() after write_eof()")
        if self._is_closing or not data:
            return
        unsent = bytes(data)
        self._unread_bytes += len(unsent)
        while unsent:
            size = self._draw_piece_size(min(len(unsent), MAX_PIECE_BYTES))
            self._send(unsent[:size])
            unsent = unsent[size:]
        if not self._is_writing_paused and self.get_write_buffer_size() > self._high_water:
            self._is_writing_paused = True
            cast(asyncio.Protocol, self._protocol).pause_writing()

    def _draw_piece_size(self, max_size: int) -> int:
        rng = self._loop.random
        if max_size > 1 and rng.random() < SPLIT_PROBABILITY:
            return rng.randrange(1, max_size)
        return max_size

    def _send(self, piece: Piece) -> None:
        delay_s = self._loop.network.draw_delay_ms(self._sender, self._receiver) / 1000.0
        self._last_arrival_s = max(self._last_arrival_s + MIN_SPACING_S, self._loop.time() + delay_s)
        self._record("sent", piece)
        self._loop.call_at(self._last_arrival_s, self._on_arrival, piece)

    def _record(self, kind: str, piece: Piece) -> None:
        self._loop.record_event(kind, self._connection_id, self._sender, self._receiver, piece)

    def _on_arrival(self, piece: Piece) -> None:
        self._in_flight.append(piece)
        if len(self._in_flight) == 1:
            self._deliver_in_flight()

    def _deliver_in_flight(self) -> None:
        if self._loop.network.is_cut(self._sender, self._receiver):
            self._loop.call_later(RETRANSMIT_S, self._deliver_in_flight)
            return
        peer = self._connected_peer()
        while self._in_flight:
            self._loop.call_soon(self._deliver, self._in_flight.popleft(), context=peer._context)

    def _deliver(self, piece: Piece) -> None:
        peer = self._connected_peer()
        if not peer.is_lost:
            self._record("came", piece)
            peer.inbox.append(piece)
            peer._read_inbox()
        elif isinstance(piece, bytes):  # nobody is there to read it
            error = ConnectionResetError("reset by peer")
            self._loop.call_soon(self._lose_connection, error, context=self._context)

    def _connected_peer(self) -> VirtualTransport:
        assert self.peer is not None, "both ends are made by open_connection_pair"
        return self.peer

    # Reading.

    def _read_inbox(self) -> None:
        while self.inbox and self._protocol is not None and not self.is_lost:
            piece = self.inbox[0]
            if piece == RESET:
                self._lose_connection(ConnectionResetError("reset by peer"))
                return
            if not self._is_reading or self._is_closing:
                return
            self.inbox.popleft()
            if isinstance(piece, bytes):
                if self.peer is not None:
                    self.peer._on_peer_read(len(piece))
                cast(asyncio.Protocol, self._protocol).data_received(piece)
            elif not cast(asyncio.Protocol, self._protocol).eof_received():
                self.close()

    def _on_peer_read(self, size: int) -> None:
        self._unread_bytes -= size
        if self._is_writing_paused and self.get_write_buffer_size() <= self._low_water and not self.is_lost:
            self._is_writing_paused = False
            resume = cast(asyncio.Protocol, self._protocol).resume_writing
            self._loop.call_soon(resume, context=self._context)

    def pause_reading(self) -> None:
        """Leaves what arrives unread."""
        self._is_reading = False

    def resume_reading(self) -> None:
        """Reads what has arrived meanwhile, and what arrives."""
        if not self._is_reading:
            self._is_reading = True
            self._loop.call_soon(self._read_inbox, context=self._context)

    def is_reading(self) -> bool:
        """Whether the protocol is given what arrives."""
        return self._is_reading

    # Ends.

    def can_write_eof(self) -> bool:
        """Returns True: a connection can be half-closed."""
        return True

    def write_eof(self) -> None:
        """Ends this direction; the other one stays open."""
        if not self._has_written_eof and not self._is_closing:
            self._has_written_eof = True
            self._send(EOF)

    def close(self) -> None:
        """Closes the connection; one with unread input is reset, as by the kernel."""
        if self._is_closing:
            return
        if not self._has_written_eof:
            self._send(RESET if any(isinstance(piece, bytes) for piece in self.inbox) else EOF)
        self._is_closing = True
        self._loop.call_soon(self._lose_connection, None, context=self._context)

    def abort(self) -> None:
        """Resets the connection."""
        if not self._is_closing:
            self._is_closing = True
            self._send(RESET)
        self._loop.call_soon(self._lose_connection, None, context=self._context)

    def _lose_connection(self, error: Exception | None) -> None:
        if self.is_lost:
            return
        self._is_closing = self.is_lost = True
        self._record("lost", type(error).__name__)
        if self._protocol is not None:
            self._protocol.connection_lost(error)

    def is_closing(self) -> bool:
        """Whether the transport is closed or being closed."""
        return self._is_closing

    def get_write_buffer_size(self) -> int:
        """Returns the unread bytes beyond those that the kernel's buffers hold."""
        return max(0, self._unread_bytes - KERNEL_BUFFER_BYTES)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Returns the low-water and high-water marks in bytes."""
        return self._low_water, self._high_water

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Sets the marks in bytes; the low one is a quarter of the high one by default."""
        self._high_water = HIGH_WATER_BYTES if high is None else high
        self._low_water = self._high_water // 4 if low is None else low

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Replaces the protocol."""
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Returns the protocol."""
        assert self._protocol is not None, "the transport has not been started"
        return self._protocol


def open_connection_pair(
    loop: VirtualLoop,
    connection_id: int,
    client: str,
    server: str,
    address: Address,
    source: Address,
) -> tuple[VirtualTransport, VirtualTransport]:
    """Returns the client's and the server's end of a new connection, both without a protocol."""
    near_extra = {"peername": address, "sockname": source}
    far_extra = {"peername": source, "sockname": address}
    near = VirtualTransport(loop, connection_id, client, server, near_extra)
    far = VirtualTransport(loop, connection_id, server, client, far_extra)
    near.peer, far.peer = far, near
    return near, far


class PendingConnection:
    """A connection that waits to be accepted; stands for the socket that `accept` returns."""

    def __init__(self, transport: VirtualTransport) -> None:
        self.transport = transport

    def setsockopt(self, *arguments: Any) -> None:
        """Does nothing: there is no Nagle algorithm here."""


class VirtualListener:
    """A listener in memory (`net.environment.Listener`) with its queue of pending connections."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.queue: deque[PendingConnection] = deque()
        self.on_ready: Callable[[], None] | None = None  # called by the loop for each new connection
        self.is_closed = False

    def accept(self) -> tuple[PendingConnection, Address]:
        """Returns a connection and its peer's address; raises `BlockingIOError` if none waits."""
        if not self.queue:
            raise BlockingIOError
        connection = self.queue.popleft()
        return connection, connection.transport.get_extra_info("peername")

    def close(self) -> None:
        """Stops listening and resets the connections that wait."""
        self.is_closed = True
        while self.queue:
            self.queue.popleft().transport.abort()

    def getsockname(self) -> Address:
        """Returns the address that is listened at."""
        return self.address

    def fileno(self) -> int:
        """Returns -1: there is no descriptor."""
        return -1

"""In-memory byte streams that split, delay, stall, reset and half-close like TCP connections.

Written data is sent in pieces of random size, which arrive in order after the network's delay. A piece is
buffered at the receiver while the receiver does not read, and counts against the writer's buffer until it
has been read.
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
LOW_WATER_BYTES = 16 * 1024  # unread bytes at which a paused writer is resumed
KERNEL_BUFFER_BYTES = 256 * 1024  # of both sockets together; not part of the write buffer size
MAX_PIECE_BYTES = 64 * 1024  # the most bytes that arrive at once
SPLIT_PROBABILITY = 0.2  # probability that a piece of a write is split in two
MIN_SPACING_S = 1e-6  # least time between the arrivals of two pieces
RETRANSMIT_S = 0.05  # time between delivery attempts while the direction is cut

EOF, RESET = "eof", "reset"
Piece = bytes | str  # data, or one of the markers EOF and RESET


class VirtualSocketPoll:
    """Reports the readiness of a virtual transport; has the interface of `net.sockets.SocketPoll`."""

    def __init__(self, transport: VirtualTransport) -> None:
        self._transport = transport

    def poll(self, timeout: float | None = None, /) -> list[tuple[int, int]]:
        """Returns the events for which a real socket in the transport's state would be ready."""
        inbox = self._transport.inbox
        if self._transport.is_lost or EOF in inbox or RESET in inbox:
            return [(0, READABLE_EVENTS)]
        return [(0, select.POLLIN)] if inbox else []


class VirtualTransport(asyncio.Transport):
    """One end of a connection; `peer` is its other end.

    Args:
        loop: Provides the time, the network's delays and the trace.
        connection_id: The connection's number in the trace.
        sender: The host at this end.
        receiver: The host at the other end.
        extra: The values that `get_extra_info` returns.
    """

    def __init__(
        self, loop: VirtualLoop, connection_id: int, sender: str, receiver: str, extra: dict[str, Any]
    ) -> None:
        super().__init__({**extra, "unread": VirtualSocketPoll(self)})
        loop.transports[self] = None
        self._loop, self._connection_id = loop, connection_id
        self._sender, self._receiver = sender, receiver
        self.peer: VirtualTransport | None = None
        self.inbox: deque[Piece] = deque()  # arrived, not yet read by the protocol
        self.is_lost = False  # the protocol has been notified by `connection_lost`
        self._protocol: asyncio.BaseProtocol | None = None
        self._context = contextvars.copy_context()  # of the protocol's callbacks, with their host
        self._in_flight: deque[Piece] = deque()  # past its delay; buffered while the direction is cut
        self._unread_bytes = 0  # written, not yet read by the other end
        self._last_arrival_s = 0.0  # arrival time of the latest piece; no later piece may arrive before it
        self._is_reading = True
        self._is_closing = self._has_written_eof = self._is_writing_paused = False
        self._high_water, self._low_water = HIGH_WATER_BYTES, LOW_WATER_BYTES

    def start(self, protocol: asyncio.BaseProtocol) -> None:
        """Connects the protocol; its callbacks run in the caller's context from now on."""
        self._protocol, self._context = protocol, contextvars.copy_context()
        protocol.connection_made(self)
        self._read_inbox()

    # Writing.

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Sends bytes in pieces, and pauses the writer above the high-water mark.

        Raises:
            RuntimeError: `write_eof` has been called.
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
        elif isinstance(piece, bytes):  # data for a closed connection is answered with a reset
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
        """Stops reading; data that arrives stays in the inbox."""
        self._is_reading = False

    def resume_reading(self) -> None:
        """Reads the data in the inbox and all data that arrives later."""
        if not self._is_reading:
            self._is_reading = True
            self._loop.call_soon(self._read_inbox, context=self._context)

    def is_reading(self) -> bool:
        """Whether data that arrives is passed to the protocol."""
        return self._is_reading

    # Closing.

    def can_write_eof(self) -> bool:
        """Returns True: a connection can be half-closed."""
        return True

    def write_eof(self) -> None:
        """Ends this direction; the other one stays open."""
        if not self._has_written_eof and not self._is_closing:
            self._has_written_eof = True
            self._send(EOF)

    def close(self) -> None:
        """Closes the connection; resets it if there is unread input, as the kernel does."""
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

    def end(self) -> None:
        """Ends the connection at the end of a run: the protocol is notified at once, nothing is sent."""
        self._is_closing = True
        self._context.run(self._lose_connection, None)

    def _lose_connection(self, error: Exception | None) -> None:
        if self.is_lost:
            return
        self._is_closing = self.is_lost = True
        self._loop.transports.pop(self, None)
        self._record("lost", type(error).__name__)
        if self._protocol is not None:
            self._protocol.connection_lost(error)

    def is_closing(self) -> bool:
        """Whether the transport is closed or being closed."""
        return self._is_closing

    def get_write_buffer_size(self) -> int:
        """Returns the number of unread bytes that do not fit into the kernel's buffers."""
        return max(0, self._unread_bytes - KERNEL_BUFFER_BYTES)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Returns the low-water and high-water marks in bytes."""
        return self._low_water, self._high_water

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Sets the water marks in bytes; the low one is a quarter of the high one by default."""
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
    """Creates a connection and returns the client's and the server's end, both without a protocol."""
    client_extra = {"peername": address, "sockname": source}
    server_extra = {"peername": source, "sockname": address}
    client_end = VirtualTransport(loop, connection_id, client, server, client_extra)
    server_end = VirtualTransport(loop, connection_id, server, client, server_extra)
    client_end.peer, server_end.peer = server_end, client_end
    return client_end, server_end


class PendingConnection:
    """A connection in a listener's queue; stands for the socket that `accept` returns."""

    def __init__(self, transport: VirtualTransport) -> None:
        self.transport = transport

    def setsockopt(self, *arguments: Any) -> None:
        """Does nothing: virtual connections have no socket options such as `TCP_NODELAY`."""


class VirtualListener:
    """An in-memory listener (`net.environment.Listener`) with its queue of pending connections."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.queue: deque[PendingConnection] = deque()
        self.on_ready: Callable[[], None] | None = None  # called by the loop for each new connection
        self.is_closed = False

    def accept(self) -> tuple[PendingConnection, Address]:
        """Returns a connection and its peer's address; raises `BlockingIOError` if the queue is empty."""
        if not self.queue:
            raise BlockingIOError
        connection = self.queue.popleft()
        return connection, connection.transport.get_extra_info("peername")

    def close(self) -> None:
        """Stops listening and resets the connections in the queue."""
        self.is_closed = True
        while self.queue:
            self.queue.popleft().transport.abort()

    def getsockname(self) -> Address:
        """Returns the listening address."""
        return self.address

    def fileno(self) -> int:
        """Returns -1: a virtual listener has no file descriptor."""
        return -1

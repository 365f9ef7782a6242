"""Socket functions that asyncio lacks: unread input, a closed peer, immediate writes and shutdowns."""

from __future__ import annotations

import asyncio
import os
import select
import socket
import struct
from collections.abc import Callable
from typing import Protocol

from uvloop.loop import TCPTransport  # type: ignore[attr-defined]  # missing in its stubs

PEER_CLOSED_EVENTS = select.POLLERR | select.POLLHUP | getattr(select, "POLLRDHUP", 0)
READABLE_EVENTS = select.POLLIN | PEER_CLOSED_EVENTS
# Limit on consecutive bytes that belong to no body, such as chunk framing or a trailer: the parser buffers
# them without a callback.
MAX_FRAMING_BYTES = 32 * 1024
# `tcpi_last_data_recv` in `struct tcp_info` (linux/tcp.h): ms since data was last received.
LAST_DATA_RECEIVED = struct.Struct("=I")
LAST_DATA_RECEIVED_OFFSET = 52
TCP_INFO_BYTES = 104


class SocketPoll(Protocol):
    """The part of `select.poll` that is used here."""

    def poll(self, timeout: float | None = ..., /) -> list[tuple[int, int]]:
        """Returns at once, if called with 0, the events for unread input or a closed peer."""


def socket_poll(transport: asyncio.Transport) -> SocketPoll:
    """Returns a poll object for a transport's socket; a transport without one has its own as `unread`."""
    unread: SocketPoll | None = transport.get_extra_info("unread")
    if unread is not None:
        return unread
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), READABLE_EVENTS)
    return poll


def data_age_ms(transport: asyncio.Transport) -> float:
    """Returns how long ago a transport's connection last received data, read or unread, in milliseconds.

    Linux reports it in `tcp_info` (tcp(7)); 0 if it is not available.
    """
    try:
        info = transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    except (OSError, AttributeError):
        return 0.0
    if len(info) < TCP_INFO_BYTES:
        return 0.0
    return float(LAST_DATA_RECEIVED.unpack_from(info, LAST_DATA_RECEIVED_OFFSET)[0])


def is_peer_closed(poll: SocketPoll) -> bool:
    """Whether the peer has closed or reset the connection, even if its last input is still unread."""
    return any(events & PEER_CLOSED_EVENTS for _, events in poll.poll(0))


def has_left_unused(peer: socket.socket) -> bool:
    """Whether the peer of an accepted connection has closed or reset it without having sent anything."""
    peek: Callable[..., bytes] | None = getattr(peer, "recv", None)  # an in-memory connection has no socket
    if peek is None:
        return False
    try:
        return not peek(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def write_now(transport: asyncio.Transport, data: bytes) -> None:
    """Writes as much data as the system accepts before returning; the transport buffers the rest.

    uvloop's TCP transport would write all data at the end of the event-loop iteration. Remaining times that
    the data contain, such as a request's, might be wrong by then.
    """
    is_deferring = isinstance(transport, TCPTransport) and not transport.is_closing()
    if is_deferring and transport.get_write_buffer_size() == 0:
        data = data[_write_available(transport, data) :]
    if data:
        transport.write(data)


def _write_available(transport: asyncio.Transport, data: bytes) -> int:
    try:
        return os.write(transport.get_extra_info("socket").fileno(), data)
    except OSError:
        return 0  # the transport gets the same error and handles it


def end_sending(transport: asyncio.Transport) -> None:
    """Shuts down the sending side of a transport's connection at once (shutdown(2))."""
    unconnected = transport.get_extra_info("unread") is not None  # an in-memory transport has no socket
    if unconnected or transport.is_closing():
        return
    try:
        connection = socket.socket(fileno=transport.get_extra_info("socket").fileno())
    except OSError:
        return  # already closed
    try:
        connection.shutdown(socket.SHUT_WR)
    except OSError:
        pass  # reset by the peer
    finally:
        connection.detach()  # the transport keeps the descriptor

"""Sockets beyond what asyncio offers: unread input, the peer's end, writes and ends within the call."""

from __future__ import annotations

import asyncio
import os
import select
import socket
import struct
from typing import Protocol

from uvloop.loop import TCPTransport  # type: ignore[attr-defined]  # its stubs lack it

PEER_CLOSED_EVENTS = select.POLLERR | select.POLLHUP | getattr(select, "POLLRDHUP", 0)
READABLE_EVENTS = select.POLLIN | PEER_CLOSED_EVENTS
# Bytes that may come without one of a body among them: chunk framing or a trailer. Bounds what the parser
# buffers silently while they go on.
MAX_FRAMING_BYTES = 32 * 1024
# `tcpi_last_data_recv` in `struct tcp_info` (linux/tcp.h): ms since the last data came.
LAST_DATA_RECEIVED = struct.Struct("=I")
LAST_DATA_RECEIVED_OFFSET = 52
TCP_INFO_BYTES = 104


class SocketPoll(Protocol):
    """The part of `select.poll` that is used."""

    def poll(self, timeout: float | None = ..., /) -> list[tuple[int, int]]:
        """Called with 0, returns at once whether there is unread input, or the peer has closed."""


def socket_poll(transport: asyncio.Transport) -> SocketPoll:
    """Returns the poll of a transport's socket; a transport without one provides its own as `unread`."""
    unread: SocketPoll | None = transport.get_extra_info("unread")
    if unread is not None:
        return unread
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), READABLE_EVENTS)
    return poll


def data_age_ms(transport: asyncio.Transport) -> float:
    """Returns how long ago the last bytes came on a transport's connection, read or not, in milliseconds.

    Linux tells it in `tcp_info` (tcp(7)); 0 where it does not.
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


def write_now(transport: asyncio.Transport, data: bytes) -> None:
    """Writes data in this very call as far as the system takes it; a transport keeps the rest.

    uvloop's TCP transport would write all of it when its turn ends, and by then what the data say of time may
    be wrong.
    """
    is_deferring = isinstance(transport, TCPTransport) and not transport.is_closing()
    if is_deferring and transport.get_write_buffer_size() == 0:
        data = data[_send_some(transport, data) :]
    if data:
        transport.write(data)


def _send_some(transport: asyncio.Transport, data: bytes) -> int:
    try:
        return os.write(transport.get_extra_info("socket").fileno(), data)
    except OSError:
        return 0  # the transport meets the same error, and handles it


def end_sending(transport: asyncio.Transport) -> None:
    """Shuts down the sending side of a transport's connection in this very call (shutdown(2))."""
    unconnected = transport.get_extra_info("unread") is not None  # a transport in memory has no socket
    if unconnected or transport.is_closing():
        return
    try:
        connection = socket.socket(fileno=transport.get_extra_info("socket").fileno())
    except OSError:
        return  # closed by now
    try:
        connection.shutdown(socket.SHUT_WR)
    except OSError:
        pass  # reset by its peer
    finally:
        connection.detach()  # the descriptor stays the transport's

"""Socket state beyond what asyncio reports: unread input, and whether the peer has closed."""

from __future__ import annotations

import asyncio
import select
from typing import Protocol

PEER_CLOSED_EVENTS = select.POLLERR | select.POLLHUP | getattr(select, "POLLRDHUP", 0)
READABLE_EVENTS = select.POLLIN | PEER_CLOSED_EVENTS
# Bytes that may come without one of a body among them: chunk framing or a trailer. Bounds what the parser
# buffers silently while they go on.
MAX_FRAMING_BYTES = 32 * 1024


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


def is_peer_closed(poll: SocketPoll) -> bool:
    """Whether the peer has closed or reset the connection, even if its last input is still unread."""
    return any(events & PEER_CLOSED_EVENTS for _, events in poll.poll(0))

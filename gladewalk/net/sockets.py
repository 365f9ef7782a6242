"""What both sides ask of a connection's socket beside what asyncio tells."""

from __future__ import annotations

import asyncio
import select
from typing import Protocol

ENDED = select.POLLERR | select.POLLHUP | getattr(select, "POLLRDHUP", 0)  # of the other end
# Bytes that may come without one of a body among them, of a chunk's frame or a trailer. Guards against what
# the parser holds of them and tells nobody, where they never end.
FRAME_MOST = 32 * 1024
READY = select.POLLIN | ENDED


class Unread(Protocol):
    """Asked with `poll(0)`, it tells whether the other end has said what lies unread, or closed."""

    def poll(self, timeout: float | None = ..., /) -> list[tuple[int, int]]: ...


def watch(transport: asyncio.Transport) -> Unread:
    """Of a socket, by the system; a transport that has none tells by itself (`unread`)."""
    unread: Unread | None = transport.get_extra_info("unread")
    if unread is not None:
        return unread
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), READY)
    return poll


def has_ended(unread: Unread) -> bool:
    """Whether the other end has closed or reset, though what it said before may still lie unread."""
    return any(events & ENDED for _, events in unread.poll(0))

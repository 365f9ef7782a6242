"""What both sides ask of a connection's socket beside what asyncio tells."""

from __future__ import annotations

import asyncio
import select

READY = select.POLLIN | select.POLLERR | select.POLLHUP


def watch(transport: asyncio.Transport) -> select.poll:
    """Asked with `poll(0)`, it tells whether the other end has said what lies unread, or closed."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), READY)
    return poll

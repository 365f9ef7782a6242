"""What both sides ask of a connection's socket beside what asyncio tells."""

from __future__ import annotations

import asyncio
import select

READY = select.POLLIN | select.POLLERR | select.POLLHUP


def is_quiet(transport: asyncio.Transport) -> bool:
    """Whether the other end has neither said anything that lies unread nor closed."""
    if transport.is_closing():
        return False
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), READY)
    return not poll.poll(0)

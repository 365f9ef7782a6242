"""Opens listeners at the start, with retries while the system temporarily lacks resources for a socket."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable

from ..core.counters import Counters
from .accept_errors import MAX_BACKOFF_MS, MIN_BACKOFF_MS, error_name

TRANSIENT_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EINTR}
)
"""Temporary errors of socket, bind and listen (socket(2), bind(2)); others are configuration errors."""

MAX_LISTEN_WAIT_MS = 5_000.0  # a restarted director must be ready within seconds


async def retry_listening(
    listen: Callable[[], Awaitable[None]], clock: Callable[[], float], counters: Counters
) -> None:
    """Calls `listen` until it succeeds, for `MAX_LISTEN_WAIT_MS` at most.

    Raises:
        OSError: An error that is not temporary, or a temporary one that lasts longer than that.
    """
    give_up_ms, backoff_ms = clock() + MAX_LISTEN_WAIT_MS, MIN_BACKOFF_MS
    while True:
        try:
            return await listen()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS or clock() + backoff_ms > give_up_ms:
                raise
            counters.add(f"listen.failed.{error_name(error)}")
        await asyncio.sleep(backoff_ms / 1000.0)
        backoff_ms = min(MAX_BACKOFF_MS, 2.0 * backoff_ms)

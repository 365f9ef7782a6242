"""Responses that were written to transports: who is told once the system has taken them from this process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..core.deadlines import Deadlines

CHECK_INTERVAL_MS = 4.0  # interval of checks whether slowly read responses have been sent
SMALL_RESPONSE_BYTES = 4 * 1024  # such a response is covered by what its connection is planned to take


class UnsentResponses:
    """Responses that their transports still buffer, at least in part.

    A transport tells when its buffer is below a limit, not when it is empty; so the buffers are looked at.
    """

    def __init__(self, clock: Callable[[], float], deadlines: Deadlines) -> None:
        self._clock, self._deadlines = clock, deadlines
        self._waiting: dict[asyncio.Transport, list[Callable[[], None]]] = {}
        self._is_checking = False

    def add(self, transport: asyncio.Transport | None, size: int, on_sent: Callable[[], None]) -> None:
        """Has `on_sent` called once a response of this size, just written, has left the transport's buffer.

        It is called at once for a small response, and at the latest when `end` is called for the transport.
        """
        if transport is None or size <= SMALL_RESPONSE_BYTES:
            return on_sent()
        self._waiting.setdefault(transport, []).append(on_sent)
        # The transport sends what was written at the end of this event-loop iteration.
        asyncio.get_running_loop().call_soon(self.check, transport)

    def end(self, transport: asyncio.Transport | None) -> None:
        """Ends the waits for a transport that is closed."""
        if transport is not None:
            for on_sent in self._waiting.pop(transport, ()):
                on_sent()

    def check(self, transport: asyncio.Transport) -> None:
        """Calls those who wait for a transport if its buffer is empty."""
        if transport in self._waiting and not transport.get_write_buffer_size():
            self.end(transport)
        elif not self._is_checking and self._waiting:
            self._is_checking = True
            self._deadlines.add(self._clock() + CHECK_INTERVAL_MS, self._check_all)

    def _check_all(self) -> None:
        self._is_checking = False
        for transport in list(self._waiting):
            self.check(transport)

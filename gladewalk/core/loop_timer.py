"""The event loop's timer for the earliest deadline."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .deadlines import Deadlines

HELD_UP_MS = 100.0  # a timer that fires later than this shows that the event loop stood still
READ_FIRST_MS = 5.0  # time to handle what has arrived while the event loop stood still


class LoopTimer:
    """Owns a set of deadlines and arms one event-loop timer for the earliest of them.

    An event loop that stood still runs its timers before it has handled what arrived in time: a connection
    that is open, a complete response. So a timer that fires late is armed once more, for a moment later.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        self.loop, self.clock = loop, clock
        self._has_read_first = False
        self.deadlines = Deadlines(self.arm)
        self._handle: asyncio.TimerHandle | None = None

    def arm(self, when_ms: float) -> None:
        """Replaces the armed timer with one that fires at `when_ms`."""
        if self._handle is not None:
            self._handle.cancel()
        self._handle = self.loop.call_later(max(0.0, when_ms - self.clock()) / 1000.0, self._sweep)

    def _sweep(self) -> None:
        now = self.clock()
        if self.deadlines.delay_ms(now) > HELD_UP_MS and not self._has_read_first:
            self._has_read_first = True
            self.arm(now + READ_FIRST_MS)
            return
        self._has_read_first = False
        self.deadlines.sweep(now)

"""The timer queue: one sorted structure with every deadline of the process."""

from __future__ import annotations

import math
from collections.abc import Callable

from sortedcontainers import SortedDict

DeadlineKey = tuple[float, int]  # the due time in Unix ms, and a serial number


class Deadlines:
    """Scheduled calls, ordered by due time (Unix ms), then by the order in which they were added.

    `rearm` has the owner of the event loop arm one timer for the earliest call; the owner calls `sweep` when
    that timer fires.
    """

    def __init__(self, rearm: Callable[[float], None]) -> None:
        self._due: SortedDict[DeadlineKey, Callable[[], None]] = SortedDict()
        self._rearm = rearm
        self._last_serial = 0
        self.max_call_delay_ms = 0.0  # the longest delay of any call past its due time

    def add(self, when_ms: float, call: Callable[[], None]) -> DeadlineKey:
        """Schedules a call and returns the key with which `drop` cancels it."""
        self._last_serial += 1
        key = (when_ms, self._last_serial)
        self._due[key] = call
        if self._due.peekitem(0)[0] is key:
            self._rearm(when_ms)
        return key

    def drop(self, key: DeadlineKey | None) -> None:
        """Cancels a call; has no effect for None or for a call that has already run."""
        if key is not None:
            self._due.pop(key, None)

    def delay_ms(self, now_ms: float) -> float:
        """How long the earliest call is past its due time; negative before it, and without any call."""
        return now_ms - self._due.peekitem(0)[0][0] if self._due else -math.inf

    def sweep(self, now_ms: float) -> None:
        """Runs all calls that are due; calls added meanwhile run in the next sweep, even if already due.

        An exception from one call propagates; the other calls stay scheduled and the timer is armed for them.
        """
        self.max_call_delay_ms = max(self.max_call_delay_ms, self.delay_ms(now_ms))
        try:
            for key in list(self._due.irange(maximum=(now_ms, self._last_serial))):
                call = self._due.pop(key, None)
                if call is not None:  # None if a call that ran before it has cancelled it
                    call()
        finally:
            if self._due:
                self._rearm(self._due.peekitem(0)[0][0])

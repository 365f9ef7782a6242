"""The timer queue: one sorted structure that holds every deadline of the program."""

from __future__ import annotations

from collections.abc import Callable

from sortedcontainers import SortedDict

DeadlineKey = tuple[float, int]  # when it is due in Unix ms, and a serial number


class Deadlines:
    """Calls due at given times (Unix ms), in order of time, then of addition.

    The owner of the event loop arms one timer for the earliest (`rearm`) and calls `sweep` when it fires.
    """

    def __init__(self, rearm: Callable[[float], None]) -> None:
        self._due: SortedDict[DeadlineKey, Callable[[], None]] = SortedDict()
        self._rearm = rearm
        self._last_serial = 0
        self.max_call_delay_ms = 0.0  # the longest that any call has run past its time

    def add(self, when_ms: float, call: Callable[[], None]) -> DeadlineKey:
        """Schedules a call; the key cancels it (`drop`)."""
        self._last_serial += 1
        key = (when_ms, self._last_serial)
        self._due[key] = call
        if self._due.peekitem(0)[0] is key:
            self._rearm(when_ms)
        return key

    def drop(self, key: DeadlineKey | None) -> None:
        """Cancels a call; without effect for None and for one that has run."""
        if key is not None:
            self._due.pop(key, None)

    def sweep(self, now_ms: float) -> None:
        """Runs all calls due by now; what a call adds waits for the next sweep, even if it is due.

        An exception from one call propagates, but neither the other calls nor the timer are lost with it.
        """
        if self._due and (late_ms := now_ms - self._due.peekitem(0)[0][0]) > self.max_call_delay_ms:
            self.max_call_delay_ms = late_ms
        try:
            for key in list(self._due.irange(maximum=(now_ms, self._last_serial))):
                call = self._due.pop(key, None)
                if call is not None:  # else cancelled by one that ran before it
                    call()
        finally:
            if self._due:
                self._rearm(self._due.peekitem(0)[0][0])

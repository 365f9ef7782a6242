"""One sorted structure that holds every deadline of the program."""

from __future__ import annotations

from collections.abc import Callable

from sortedcontainers import SortedDict

Key = tuple[float, int]


class Deadlines:
    """What falls due, by time (Unix ms), swept once each turn; the owner of the loop arms its timer."""

    def __init__(self, rearm: Callable[[float], None]) -> None:
        self._due: SortedDict[Key, Callable[[], None]] = SortedDict()
        self._rearm = rearm
        self._count = 0
        self.late_ms = 0.0  # the longest that anything has waited past its time

    def add(self, when_ms: float, call: Callable[[], None]) -> Key:
        self._count += 1
        key = (when_ms, self._count)
        self._due[key] = call
        if self._due.peekitem(0)[0] is key:
            self._rearm(when_ms)
        return key

    def drop(self, key: Key | None) -> None:
        if key is not None:
            self._due.pop(key, None)

    def sweep(self, now_ms: float) -> None:
        """Run all that is due by now; what a call adds waits for the next turn even if it is due.

        Guards against one call that fails: the others, and the timer for what comes, are not lost with it.
        """
        if self._due and (late := now_ms - self._due.peekitem(0)[0][0]) > self.late_ms:
            self.late_ms = late
        try:
            for key in list(self._due.irange(maximum=(now_ms, self._count))):
                call = self._due.pop(key, None)
                if call is not None:  # else dropped by one that ran before it
                    call()
        finally:
            if self._due:
                self._rearm(self._due.peekitem(0)[0][0])

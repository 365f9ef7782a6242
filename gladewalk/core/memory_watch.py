"""Watches the memory of the process, and logs what it holds when it comes near its limit."""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from .deadlines import Deadlines

CHECK_INTERVAL_MS = 500.0
WARNING_FRACTIONS = (0.7, 0.9)  # of the limit; a line is logged when one of them is reached
REARM_FRACTION = 0.05  # the memory has to fall by so much below a fraction before its line is logged again
BYTES_PER_MB = 1_000_000


def read_resident_bytes() -> int:
    """Returns the resident memory of this process (`/proc/self/statm`, proc(5)); 0 if it is unknown."""
    try:
        pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


class MemoryWatch:
    """Logs one line when the resident memory reaches each of `WARNING_FRACTIONS` of the limit.

    Args:
        limit_mb: The memory limit of the process.
        resident_bytes: Reads the resident memory.
        describe: Returns what is held, by its holders, for the line.
        log: Writes the line, given the name of its event and its fields.
    """

    def __init__(
        self,
        limit_mb: float,
        resident_bytes: Callable[[], int],
        describe: Callable[[], Mapping[str, Any]],
        log: Callable[..., Any],
    ) -> None:
        self.limit_mb = limit_mb
        self._resident_bytes, self._describe, self._log = resident_bytes, describe, log
        self._reached_count = 0  # of the fractions

    def start(self, clock: Callable[[], float], deadlines: Deadlines) -> None:
        """Checks now and then each `CHECK_INTERVAL_MS`."""
        self.check()
        deadlines.add(clock() + CHECK_INTERVAL_MS, lambda: self.start(clock, deadlines))

    def check(self) -> None:
        """Logs a line if the memory has reached another fraction of the limit."""
        resident_mb = self._resident_bytes() / BYTES_PER_MB
        fraction = resident_mb / self.limit_mb
        while self._reached_count and fraction < WARNING_FRACTIONS[self._reached_count - 1] - REARM_FRACTION:
            self._reached_count -= 1
        reached_count = sum(fraction >= limit for limit in WARNING_FRACTIONS)
        if reached_count > self._reached_count:
            self._reached_count = reached_count
            memory = {"resident_mb": round(resident_mb, 1), "limit_mb": self.limit_mb}
            self._log("memory_high", **memory, **self._describe())

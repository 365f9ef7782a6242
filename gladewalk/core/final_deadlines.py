"""Deadlines of final answers at a stop, spread so that each is sent before the process is killed. No I/O."""

from __future__ import annotations

import math

ANSWER_INTERVAL_MS = 1.0  # between two deadlines; answers take less than half of it on a whole core


class FinalDeadlines:
    """Limits deadlines at a stop. Times are milliseconds of the caller's clock.

    Hundreds of answers that are due at the same moment would be written one after another and sent together,
    the last of them after the process has been killed.
    """

    def __init__(self) -> None:
        self.latest_ms = math.inf  # of all final answers; infinite before a stop
        self._limited_count = 0

    def limit(self, deadline_ms: float) -> float:
        """Returns a request's deadline, or one before it that no other request has."""
        limit_ms = self.latest_ms - self._limited_count * ANSWER_INTERVAL_MS
        if deadline_ms <= limit_ms:
            return deadline_ms
        self._limited_count += 1
        return limit_ms

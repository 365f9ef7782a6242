"""Event-loop iterations that read input: bounds how long input may have waited before it is read."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

USUAL_ITERATION_MS = 20.0


class ReadIterations:
    """Records at what time each event-loop iteration began to read input.

    Input that is read in one iteration was not available yet when the iteration before it began to read. It
    may have waited long if that iteration was long, because of its work or because the process did not run.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._has_read = False  # whether the current iteration has read input
        self._started_ms = self._previous_started_ms = -math.inf

    def may_be_delayed(self) -> bool:
        """Whether input read now may have waited longer than a usual iteration; called at each read."""
        if not self._has_read:
            self._has_read = True
            self._previous_started_ms, self._started_ms = self._started_ms, self._clock()
            asyncio.get_running_loop().call_soon(self._iteration_ended)
        return self._clock() - self._previous_started_ms > USUAL_ITERATION_MS

    def _iteration_ended(self) -> None:
        self._has_read = False

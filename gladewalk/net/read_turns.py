"""Event-loop iterations: determines whether input may have waited long before it is read."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

USUAL_ITERATION_MS = 20.0


class ReadIterations:
    """Records when each iteration began to read input.

    Input read in one iteration was not available yet when the iteration before began to read. It may have
    waited long if that iteration had much work or the process did not run.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._is_reading = False  # this iteration has read input
        self._began_ms = self._began_before_ms = -math.inf

    def may_be_delayed(self) -> bool:
        """Whether input may have waited longer than a usual iteration; called at each read."""
        if not self._is_reading:
            self._is_reading = True
            self._began_before_ms, self._began_ms = self._began_ms, self._clock()
            asyncio.get_running_loop().call_soon(self._iteration_ended)
        return self._clock() - self._began_before_ms > USUAL_ITERATION_MS

    def _iteration_ended(self) -> None:
        self._is_reading = False

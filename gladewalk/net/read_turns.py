"""Turns of the event loop: when what is read now can have come at the earliest."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

USUAL_TURN_MS = 20.0


class ReadTurns:
    """Notes when the loop read input, turn by turn.

    What a turn reads was not there when the turn before began to read. It may have come long before it is
    read: a turn takes long if its work does, or if the process is not run.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._is_reading = False  # this turn has read already
        self._began_ms = self._began_before_ms = -math.inf

    def is_late(self) -> bool:
        """Whether what is read now may have come longer ago than a usual turn takes; called at each read."""
        if not self._is_reading:
            self._is_reading = True
            self._began_before_ms, self._began_ms = self._began_ms, self._clock()
            asyncio.get_running_loop().call_soon(self._turn_ended)
        return self._clock() - self._began_before_ms > USUAL_TURN_MS

    def _turn_ended(self) -> None:
        self._is_reading = False

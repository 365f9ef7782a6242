"""What the pool carries: attempts of the exchange, and probes in the place of one."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from .. import interface as api
from ..core.deadlines import DeadlineKey
from ..core.exchange import Attempt


class Probing:
    """A probe in the place of an attempt."""

    def __init__(self, done: Callable[[api.Status, float, Any], None], started_ms: float, path: str) -> None:
        self.done, self.started_ms, self.path = done, started_ms, path
        self.carrier: Carrier | None = None
        self.due: DeadlineKey | None = None


Job = Attempt | Probing


class Carrier(Protocol):
    """What a job is on: a connection, a stream of one, or the wait for either."""

    def drop(self, job: Attempt | Probing) -> None:
        """Give the job up without a word; nothing of it is heard any more."""

    def flow(self, job: Attempt | Probing, on: bool) -> None:
        """Hold the answer's bytes back, or let them come again."""

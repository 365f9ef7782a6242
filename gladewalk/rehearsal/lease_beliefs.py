"""Records in real time when simulated directors believe that they hold a lease, and finds overlaps."""

from __future__ import annotations

import itertools
from dataclasses import dataclass


@dataclass(slots=True)
class HoldingBelief:
    """The period of real time in which a director believed that it held a task's lease under one token."""

    task: str
    director: str
    first_ms: float
    last_ms: float


class BeliefLog:
    """The periods in which directors believed that they held a lease, by task and token."""

    def __init__(self) -> None:
        self._beliefs: dict[tuple[str, int], HoldingBelief] = {}

    def record(self, director: str, task: str, token: int, now_ms: float, until_ms: float) -> None:
        """Records that a director believes it holds a lease until `until_ms`, unless ended earlier."""
        belief = self._beliefs.setdefault((task, token), HoldingBelief(task, director, now_ms, until_ms))
        belief.last_ms = max(belief.last_ms, until_ms)
        belief.director = director

    def end(self, director: str, now_ms: float) -> None:
        """Ends a director's periods now, as it cannot operate: it was paused, killed or has stepped down."""
        for belief in self._beliefs.values():
            if belief.director == director:
                belief.last_ms = min(belief.last_ms, max(now_ms, belief.first_ms))

    def count_overlaps(self) -> int:
        """Counts pairs of overlapping periods of two directors for the same task.

        Periods of one director may overlap: after raising its own term, it holds under both tokens.
        """
        return sum(
            one.task == other.task
            and one.director != other.director
            and other.first_ms <= one.last_ms
            and one.first_ms <= other.last_ms
            for one, other in itertools.combinations(self._beliefs.values(), 2)
        )

"""When simulated directors believe that they hold a lease, in real time, and whether two did at once."""

from __future__ import annotations

import itertools
from dataclasses import dataclass


@dataclass(slots=True)
class HoldingBelief:
    """The real time in which one director believed that it held a task under one token."""

    task: str
    director: str
    first_ms: float
    last_ms: float


class BeliefLog:
    """When each director believed that it held, by task and token."""

    def __init__(self) -> None:
        self._beliefs: dict[tuple[str, int], HoldingBelief] = {}

    def note(self, director: str, task: str, token: int, now_ms: float, until_ms: float) -> None:
        """Notes that a director holds now and, unless something happens, until `until_ms`."""
        belief = self._beliefs.setdefault((task, token), HoldingBelief(task, director, now_ms, until_ms))
        belief.last_ms = max(belief.last_ms, until_ms)
        belief.director = director

    def end(self, director: str, now_ms: float) -> None:
        """Ends a director's beliefs now: it is paused, killed, or stepped down, and cannot operate."""
        for belief in self._beliefs.values():
            if belief.director == director:
                belief.last_ms = min(belief.last_ms, max(now_ms, belief.first_ms))

    def count_overlaps(self) -> int:
        """Counts pairs of beliefs of two directors in one task that cross.

        A holder that raised its own term rightly holds under both tokens at once.
        """
        return sum(
            one.task == other.task
            and one.director != other.director
            and other.first_ms <= one.last_ms
            and one.first_ms <= other.last_ms
            for one, other in itertools.combinations(self._beliefs.values(), 2)
        )

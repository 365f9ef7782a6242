"""Where an act of a held duty lands: a token lower than the highest accepted is refused. No I/O.

The sink of a duty keeps this, and a record of each act with the times it was done (by the actor's wall
clock) and arrived (by its own), for the history checker (`history.py`).
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Act:
    duty: str
    token: int
    actor: str
    done_ms: float  # wall time at the actor when it acted
    at_ms: float  # wall time at the sink when it arrived
    accepted: bool


class Fence:
    """Tokens accepted so far, by duty; `acts` in the order they arrived, bounded by `kept`."""

    def __init__(self, kept: int = 1_000_000) -> None:
        self.highest: dict[str, int] = {}
        self.acts: list[Act] = []
        self.kept = kept
        self.refused = 0

    def offer(self, duty: str, token: int, actor: str, done_ms: float, at_ms: float) -> bool:
        """Whether the act is taken; a refusal is counted and recorded as well."""
        accepted = token >= self.highest.get(duty, 0)
        if accepted:
            self.highest[duty] = token
        else:
            self.refused += 1
        if len(self.acts) < self.kept:
            self.acts.append(Act(duty, token, actor, done_ms, at_ms, accepted))
        return accepted

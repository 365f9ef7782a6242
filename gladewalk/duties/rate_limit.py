"""How many duties may be done: a cap on all probes of a fleet, kept without I/O.

A cap that binds stretches every interval alike, so that each box is still probed, only less often. All
members list the same servers and have the same settings, so all stretch alike. A bucket guards the rest: a
takeover or a list that grows at once never makes a burst of more than a quarter of a second's worth.
"""

from __future__ import annotations

BURST_S = 0.25


class Pacing:
    """`per_s`: probes and checks a second, all members together; 0 stands for no cap."""

    def __init__(self, per_s: float, now_ms: float) -> None:
        self.per_s = per_s
        self.room = max(1.0, per_s * BURST_S)
        self.tokens, self.at_ms = self.room, now_ms

    def stretch(self, wanted_per_s: float) -> float:
        """By how much intervals are longer than wanted; 1 where the cap does not bind."""
        return max(1.0, wanted_per_s / self.per_s) if self.per_s else 1.0

    def allowance(self, now_ms: float) -> int:
        """How many may be begun now; a clock that was set back gives none and takes none."""
        if not self.per_s:
            return 1_000_000
        spent_ms = max(0.0, now_ms - self.at_ms)
        self.tokens = min(self.room, self.tokens + spent_ms / 1_000.0 * self.per_s)
        self.at_ms = now_ms
        return int(self.tokens)

    def spend(self, count: int) -> None:
        self.tokens -= count

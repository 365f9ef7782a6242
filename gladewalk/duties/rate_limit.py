"""Rate limit of all members' health checks together: a common stretch of intervals, and a token bucket.

Where the limit binds, every interval is stretched alike, so that each server is still checked, only less
often. All members list the same servers and have the same settings, so all compute the same stretch. The
token bucket bounds the rest: a takeover, or a list that grows at once, never makes a burst of more than
`BURST_SECONDS` worth. No I/O.
"""

from __future__ import annotations

BURST_SECONDS = 0.25
UNLIMITED = 1_000_000


class HealthCheckRateLimit:
    """Limits health checks to `per_second`, all members together; 0 stands for no limit."""

    def __init__(self, per_second: float, now_ms: float) -> None:
        self.per_second = per_second
        self.burst = max(1.0, per_second * BURST_SECONDS)
        self.tokens, self.refilled_at_ms = self.burst, now_ms

    def interval_stretch(self, wanted_per_second: float) -> float:
        """Returns by how much intervals are longer than wanted; 1 where the limit does not bind."""
        return max(1.0, wanted_per_second / self.per_second) if self.per_second else 1.0

    def allowance(self, now_ms: float) -> int:
        """Returns how many checks may be sent now; a clock that was set back neither adds nor removes any."""
        if not self.per_second:
            return UNLIMITED
        elapsed_ms = max(0.0, now_ms - self.refilled_at_ms)
        self.tokens = min(self.burst, self.tokens + elapsed_ms / 1_000.0 * self.per_second)
        self.refilled_at_ms = now_ms
        return int(self.tokens)

    def spend(self, count: int) -> None:
        """Takes the tokens of checks that are sent."""
        self.tokens -= count

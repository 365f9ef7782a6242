"""Rate limit for the health checks of all members together: longer intervals, and a token bucket.

If more checks are wanted than the limit allows, all intervals are multiplied by the same factor, the stretch.
So each server is still checked, only less often. All members have the same servers and settings, and thus
compute the same stretch. In addition, each member has a token bucket: after a takeover, or when many servers
are added at once, a member sends at most as many checks in a burst as the limit allows in `BURST_SECONDS`. No
I/O.
"""

from __future__ import annotations

BURST_SECONDS = 0.25
UNLIMITED = 1_000_000


class HealthCheckRateLimit:
    """Limits the health checks of all members together to `per_second`; 0 means no limit."""

    def __init__(self, per_second: float, now_ms: float) -> None:
        self.per_second = per_second
        self.burst = max(1.0, per_second * BURST_SECONDS)
        self.tokens, self.refilled_at_ms = self.burst, now_ms

    def interval_stretch(self, wanted_per_second: float) -> float:
        """Returns the factor by which intervals are longer than wanted; 1 if the limit is not exceeded."""
        return max(1.0, wanted_per_second / self.per_second) if self.per_second else 1.0

    def allowance(self, now_ms: float) -> int:
        """Returns how many checks may be sent now; if the clock was set back, the tokens stay unchanged."""
        if not self.per_second:
            return UNLIMITED
        elapsed_ms = max(0.0, now_ms - self.refilled_at_ms)
        self.tokens = min(self.burst, self.tokens + elapsed_ms / 1_000.0 * self.per_second)
        self.refilled_at_ms = now_ms
        return int(self.tokens)

    def spend(self, count: int) -> None:
        """Removes one token for each check that is sent."""
        self.tokens -= count

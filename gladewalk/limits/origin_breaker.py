"""Circuit breaker for fills that may reach the origin (Nygard, "Release It!", 2nd ed., chapter 5).

While the origin fails, one fill per backoff may reach it. Guards against a self-sustaining collapse: every
dispatcher may have a fill in flight at each parent, the parents forward all misses, and a slowed origin that
receives all of them at once serves none in time, and no write either. The breaker limits a rate instead of
the number of fills in flight, because even one for each of hundreds of dispatchers would be too many. Writes
are not limited: only the origin can run them, and they are small.
"""

from __future__ import annotations

from ..interface import Status
from .backoff import BACKOFF_MS, MAX_BACKOFF_MS

TOLERATED_FAILURES = 1  # failures in a row that don't open the breaker
FAILURES = (Status.OK, Status.REJECTED, Status.ERROR, Status.TIMEOUT)  # OK: only if the objective was missed
TRIAL_INTERVAL_MS = 100.0  # mean interval between the trial fills of all dispatchers, at the longest backoff
MAX_DOUBLINGS = 10


class OriginBreaker:
    """Counts the origin's failures in a row, and limits the rate of fills that may reach it."""

    def __init__(self, dispatchers: int = 1) -> None:
        """`dispatchers` is the number that share the origin; the longest backoff grows with it."""
        self.max_backoff_ms = max(MAX_BACKOFF_MS, TRIAL_INTERVAL_MS * dispatchers)
        self.failures = 0
        self.open_until_ms = 0.0

    def allows(self, now_ms: float) -> bool:
        """Whether a fill that may reach the origin may be sent now."""
        return self.failures <= TOLERATED_FAILURES or now_ms >= self.open_until_ms

    def record_sent(self, now_ms: float, process_count: int = 1) -> None:
        """Record a fill that may reach the origin: while the origin fails, this starts the next backoff.

        `process_count` processes serve as this dispatcher and send its trial fills in turn.
        """
        if self.failures > TOLERATED_FAILURES:
            doublings = min(self.failures - TOLERATED_FAILURES - 1, MAX_DOUBLINGS)
            backoff_ms = min(self.max_backoff_ms, BACKOFF_MS * 2.0**doublings)
            self.open_until_ms = now_ms + process_count * backoff_ms

    def record_outcome(
        self, now_ms: float, status: Status, elapsed_ms: float, objective_ms: float, process_count: int = 1
    ) -> None:
        """Record the end of a write or fill that reached the origin; `elapsed_ms` counts from its arrival."""
        if status is Status.OK and elapsed_ms <= objective_ms:
            self.failures //= 2  # in steps, so that not all dispatchers resume their fills at the same time
        elif status in FAILURES and now_ms >= self.open_until_ms:  # attempts sent together count once
            self.failures += 1
            self.record_sent(now_ms, process_count)

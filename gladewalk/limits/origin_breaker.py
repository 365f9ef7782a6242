"""Circuit breaker for fills that may reach the origin (Nygard, "Release It!", 2nd ed., chapter 5).

While the origin fails, one fill per backoff may reach it. Guards against a collapse that keeps itself up:
every dispatcher may have a fill out at each parent, all of them pass on what they lack, and a slowed origin
that is asked by all at once serves none in time, writes neither. A rate is limited and not a number in
flight, since one for each of hundreds of dispatchers is too much already. Writes pass: they are the origin's
own work, and small.
"""

from __future__ import annotations

from ..interface import Status
from .backoff import BACKOFF_MS, MAX_BACKOFF_MS

TOLERATED_FAILURES = 1  # in a row, that open no breaker
FAILURES = (Status.OK, Status.REJECTED, Status.ERROR, Status.TIMEOUT)  # OK: an answer that came too late
TRIAL_INTERVAL_MS = 100.0  # per dispatcher, at the longest backoff
MAX_DOUBLINGS = 10


class OriginBreaker:
    """Counts the origin's failures in a row, and spaces out the fills that may reach it."""

    def __init__(self, dispatchers: int = 1) -> None:
        """`dispatchers` is how many share the origin: the longest backoff grows with them."""
        self.max_backoff_ms = max(MAX_BACKOFF_MS, TRIAL_INTERVAL_MS * dispatchers)
        self.failures = 0
        self.open_until_ms = 0.0

    def allows(self, now_ms: float) -> bool:
        """Whether a fill that may reach the origin may be sent now."""
        return self.failures <= TOLERATED_FAILURES or now_ms >= self.open_until_ms

    def record_sent(self, now_ms: float) -> None:
        """A fill that may reach the origin is sent: while it fails the next one waits for a backoff."""
        if self.failures > TOLERATED_FAILURES:
            doublings = min(self.failures - TOLERATED_FAILURES - 1, MAX_DOUBLINGS)
            self.open_until_ms = now_ms + min(self.max_backoff_ms, BACKOFF_MS * 2.0**doublings)

    def record_outcome(self, now_ms: float, status: Status, elapsed_ms: float, objective_ms: float) -> None:
        """Count the end of a write or fill that reached the origin; `elapsed_ms` is its client's wait."""
        if status is Status.OK and elapsed_ms <= objective_ms:
            self.failures //= 2  # by steps, so that not all dispatchers come back at one moment
        elif status in FAILURES and now_ms >= self.open_until_ms:  # attempts sent together count once
            self.failures += 1
            self.record_sent(now_ms)

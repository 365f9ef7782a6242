"""Sojourn-time limit for fills, after CoDel (RFC 8289).

Guards against congestion collapse: an overloaded source serves every fill a little, and each request waits
until its client leaves, holding the source's link for an answer that nobody takes in time. As in CoDel the
age of work counts only while a queue stands: while most fills come late.
"""

from __future__ import annotations

from typing import Protocol

EWMA_ALPHA = 0.15
STANDING_QUEUE_FRACTION = 0.5  # of the fills that come late, from which on a queue is assumed to stand
MAX_OBJECTIVES = 2.0  # times its latency objective that a fill may take then, with the wait before it
MIN_TIMEOUT_MS = 400.0


class TimedRequest(Protocol):
    """The times of a request, in milliseconds of the caller's clock."""

    arrived_ms: float
    deadline_ms: float


class SojournLimit:
    """Fraction of the fills that came late, and the time-out that a new fill gets by it."""

    def __init__(self) -> None:
        self.late_fraction = 0.0  # moving average

    def record(self, is_late: bool) -> None:
        """Count a fill that came, or was given up for its age."""
        self.late_fraction += EWMA_ALPHA * (is_late - self.late_fraction)

    def timeout_ms(self, request: TimedRequest, objective_ms: float, now_ms: float) -> float:
        """Time-out of a fill that starts now; 0 leaves it until the request's own deadline."""
        if self.late_fraction <= STANDING_QUEUE_FRACTION:
            return 0.0
        waited_ms = now_ms - request.arrived_ms
        timeout_ms = max(MIN_TIMEOUT_MS, MAX_OBJECTIVES * objective_ms - waited_ms)
        is_earlier = timeout_ms < request.deadline_ms - now_ms - MIN_TIMEOUT_MS / 4.0
        return timeout_ms if is_earlier else 0.0

"""Sojourn-time limit for fills, after CoDel (RFC 8289).

Guards against congestion collapse: an overloaded source serves every fill slowly, and each request waits
until its client disconnects, using the source's link for a response that is too late for any client. As in
CoDel, the age of requests is limited only while there is a standing queue, here: while most fills miss their
objective.
"""

from __future__ import annotations

from typing import Protocol

EWMA_ALPHA = 0.15
STANDING_QUEUE_FRACTION = 0.5  # fraction of late fills above which a standing queue is assumed
MAX_OBJECTIVES = 2.0  # with such a queue, a fill times out this many objectives after its request's arrival
MIN_TIMEOUT_MS = 400.0


class TimedRequest(Protocol):
    """Arrival and deadline of a request, in milliseconds of the caller's clock."""

    arrived_ms: float
    deadline_ms: float


class SojournLimit:
    """Tracks the fraction of late fills, those past their latency objective, and limits new fills by it."""

    def __init__(self) -> None:
        self.late_fraction = 0.0  # moving average

    def record(self, is_late: bool) -> None:
        """Record a fill that has completed or timed out."""
        self.late_fraction += EWMA_ALPHA * (is_late - self.late_fraction)

    def timeout_ms(self, request: TimedRequest, objective_ms: float, now_ms: float) -> float:
        """Timeout of a fill that starts now; 0: only the request's own deadline applies."""
        if self.late_fraction <= STANDING_QUEUE_FRACTION:
            return 0.0
        waited_ms = now_ms - request.arrived_ms
        timeout_ms = max(MIN_TIMEOUT_MS, MAX_OBJECTIVES * objective_ms - waited_ms)
        is_earlier = timeout_ms < request.deadline_ms - now_ms - MIN_TIMEOUT_MS / 4.0
        return timeout_ms if is_earlier else 0.0

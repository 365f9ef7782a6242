"""This process's share of its director's budgets while other processes serve as the same director.

During a handover of an inherited listener two processes serve at once, and together they may use what one
director may. Every process claims a share, publishes its claim, and raises it only by what the claims of the
others leave, so that the claims add up to 1. Only a process that has just started may claim its minimum
before the others have lowered theirs. A part of the budgets is divided equally and the rest by the requests
that each process receives, since the kernel may give one of them most of the connections. Times are
milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

EQUAL_FRACTION = 0.3  # of the budgets; the rest is divided by the rate of requests
RATE_TIME_CONSTANT_MS = 500.0  # of the moving average of the rate of requests


@dataclass(frozen=True, slots=True)
class ProcessClaim:
    """What one process publishes: its rate of requests, and the fraction of the budgets that it claims."""

    requests_per_s: float
    share: float


class ProcessShare:
    """The share that this process claims; 1 while it is alone.

    Attributes:
        claim: What this process publishes.
        process_count: How many processes serve as this director, this one included.
    """

    def __init__(self) -> None:
        self.claim = ProcessClaim(0.0, 1.0)
        self.process_count = 1
        self._request_count = 0
        self._updated_ms = math.nan

    def update(self, now_ms: float, request_count: int, others: Sequence[ProcessClaim]) -> ProcessClaim:
        """Returns the new claim.

        Args:
            now_ms: The current time.
            request_count: How many requests this process has received since its start.
            others: The latest claims of the other processes that serve as this director.
        """
        rate = self._update_rate(now_ms, request_count)
        self.process_count = 1 + len(others)
        total_rate = rate + sum(other.requests_per_s for other in others)
        equal_part = 1.0 / self.process_count
        own_part = rate / total_rate if total_rate > 0.0 else equal_part
        target = EQUAL_FRACTION * equal_part + (1.0 - EQUAL_FRACTION) * own_part
        unclaimed = 1.0 - sum(other.share for other in others)
        # Without its minimum a process would have no capacity for the requests that reach it first.
        minimum = EQUAL_FRACTION * equal_part
        self.claim = ProcessClaim(rate, min(target, max(unclaimed, minimum)))
        return self.claim

    def _update_rate(self, now_ms: float, request_count: int) -> float:
        """Updates the moving average of the rate; returns requests per second."""
        elapsed_ms, received = now_ms - self._updated_ms, request_count - self._request_count
        if math.isnan(elapsed_ms):
            self._updated_ms, self._request_count = now_ms, request_count
            return 0.0
        rate = self.claim.requests_per_s
        if elapsed_ms <= 0.0:
            return rate
        self._updated_ms, self._request_count = now_ms, request_count
        weight = 1.0 - math.exp(-elapsed_ms / RATE_TIME_CONSTANT_MS)
        return rate + weight * (received * 1_000.0 / elapsed_ms - rate)

"""Adaptive concurrency limit of a server's link, where no load reports tell its capacity.

A link with room for k transfers at full pace that n share runs each at k/n of it. A sender sees its own
transfers in flight, how long each took, and what was rejected. Two algorithms were weighed and measured in
docs/overload.md: the gradient of latency over its baseline, and AIMD on answers that came late. Both start
from an estimate and stay within a factor of it.
"""

from __future__ import annotations

import math

INITIAL_CAPACITY = 4.0  # transfers of a server of which nothing is known
MIN_FRACTION = 0.5  # of an estimate that a server bears at the least; listed links are no exact measure
MAX_FACTOR = 3.0  # over the estimate, or under it, at which a learned capacity stops
FILL_FRACTION = 0.75  # of the slowdown that still meets the objective, up to which a server is filled
SPREAD_DEVIATIONS = 0.8  # standard deviations that one sender's part of the traffic may lie over the mean
EWMA_ALPHA = 0.05
LOADED_LINK_EWMA_ALPHA = 0.002  # of the baseline, for answers of a crowded link
SHARED_LINK_LOG_SLOWDOWN = 0.15  # from which a link is assumed to be shared out
GAIN = 0.02  # part of the way to what an answer shows that the capacity goes
LIGHT_LOAD_FRACTION = 0.7  # of the capacity in flight, up to which a link is not crowded
REJECTION_STEP = 0.15  # that a rejection takes off the logarithm of the capacity
REJECTION_BACKOFF_MS = 150.0  # of a server that rejected work, unless something ends there earlier


def is_over_capacity(in_flight: int, capacity: float, senders: int, max_slowdown: float) -> bool:
    """Whether one transfer more would slow a link past `max_slowdown`.

    `in_flight` are this sender's own; times the senders they stand for all. Guards against overload, in which
    late answers crowd out those that could be in time.
    """
    quota = max(1.0, FILL_FRACTION * max_slowdown) * max(1.0, capacity) / senders
    tolerance = SPREAD_DEVIATIONS * math.sqrt(quota * (1.0 - 1.0 / senders))
    return in_flight > 0 and in_flight + 1 > quota + tolerance


class LatencyBaseline:
    """Moving average of the logarithm of the time that a class's answers take on an uncrowded link."""

    __slots__ = ("log_ms",)

    def __init__(self) -> None:
        self.log_ms = math.nan

    def record(self, elapsed_ms: float, is_lightly_loaded: bool) -> float:
        """Learn from an answer; returns the logarithm of its time over the baseline."""
        log_ms = math.log(max(1.0, elapsed_ms))
        if math.isnan(self.log_ms):
            self.log_ms = log_ms
        self.log_ms += (EWMA_ALPHA if is_lightly_loaded else LOADED_LINK_EWMA_ALPHA) * (log_ms - self.log_ms)
        return log_ms - self.log_ms


class ConcurrencyLimit:
    """One server's learned capacity, in transfers at full pace of all senders together."""

    __slots__ = ("estimate", "in_flight", "log_factor", "log_slowdown", "rejecting_until_ms")

    def __init__(self) -> None:
        self.estimate = INITIAL_CAPACITY
        self.log_factor = 0.0  # logarithm of the capacity over the estimate
        self.log_slowdown = 0.0  # moving averages, and of the transfers in flight with it
        self.in_flight = 1.0
        self.rejecting_until_ms = 0.0

    @property
    def capacity(self) -> float:
        """The capacity as learned."""
        return self.estimate * math.exp(self.log_factor)

    @property
    def min_capacity(self) -> float:
        """A careful capacity, for plans in which too much would make the server fail."""
        return max(1.0, MIN_FRACTION * min(self.capacity, self.estimate))

    def _adjust(self, step: float) -> None:
        limit = math.log(MAX_FACTOR)
        self.log_factor = min(limit, max(-limit, self.log_factor + step))

    def record_response(self, log_slowdown: float, in_flight: float) -> None:
        """Learn from a complete answer, with `in_flight` transfers of all senders on the link."""
        self.log_slowdown += EWMA_ALPHA * (log_slowdown - self.log_slowdown)
        self.in_flight += EWMA_ALPHA * (in_flight - self.in_flight)
        log_in_flight = math.log(self.in_flight / self.estimate)
        if self.log_slowdown > SHARED_LINK_LOG_SLOWDOWN:
            self._adjust(GAIN * (log_in_flight - self.log_slowdown - self.log_factor))
        elif self.in_flight > self.capacity:
            self._adjust(GAIN * (log_in_flight - self.log_factor))
        self.rejecting_until_ms = 0.0

    def is_lightly_loaded(self, in_flight: float) -> bool:
        """Whether so many transfers leave the link uncrowded."""
        return in_flight <= LIGHT_LOAD_FRACTION * self.capacity

    def record_rejection(self, now_ms: float) -> None:
        """The server rejected an attempt; attempts that were sent together count once."""
        if now_ms >= self.rejecting_until_ms:
            self._adjust(-REJECTION_STEP)
        self.rejecting_until_ms = now_ms + REJECTION_BACKOFF_MS

    def is_rejecting(self, now_ms: float) -> bool:
        """Whether the backoff after a rejection lasts."""
        return now_ms < self.rejecting_until_ms

"""Adaptive concurrency limit of a server's link, for deployments in which no load report gives its capacity.

When n transfers share a link that has capacity for k transfers at full speed, each runs at k/n of full speed.
A sender knows its own transfers in flight, the duration of each, and the rejections. docs/overload.md
compares measurements of two algorithms: the gradient of latency over its baseline, and AIMD on responses that
missed their objective. Both start from an estimate of the capacity and stay within a factor of it.
"""

from __future__ import annotations

import math

INITIAL_CAPACITY = 4.0  # assumed concurrent transfers of a server about which nothing is known
MIN_FRACTION = 0.5  # a server is assumed to handle this part of an estimate, as listed links are inexact
MAX_FACTOR = 3.0  # by which a learned capacity may exceed its estimate, or fall below it
FILL_FRACTION = 0.75  # a server is loaded up to this fraction of the slowdown that still meets the objective
SPREAD_DEVIATIONS = 0.8  # standard deviations by which one sender's share of the traffic may exceed the mean
EWMA_ALPHA = 0.05  # weight of a new sample in moving averages
LOADED_LINK_EWMA_ALPHA = 0.002  # weight of a response over a more loaded link in the latency baseline
SHARED_LINK_LOG_SLOWDOWN = 0.15  # log slowdown above which transfers are assumed to share the link's capacity
GAIN = 0.02  # fraction of the difference to a newly observed capacity by which the capacity is adjusted
LIGHT_LOAD_FRACTION = 0.7  # fraction of the capacity in flight up to which a link counts as lightly loaded
REJECTION_STEP = 0.15  # amount that a rejection subtracts from the logarithm of the capacity
REJECTION_BACKOFF_MS = 150.0  # after a rejection, unless a response is received earlier


def is_over_capacity(in_flight: int, capacity: float, senders: float, max_slowdown: float) -> bool:
    """Whether one more transfer would slow a link beyond `max_slowdown`.

    `in_flight` counts this sender's own transfers; `senders` times as many are assumed in total. Guards
    against overload, in which transfers that miss their objective take capacity from those that could still
    meet it.
    """
    quota = max(1.0, FILL_FRACTION * max_slowdown) * max(1.0, capacity) / senders
    tolerance = SPREAD_DEVIATIONS * math.sqrt(quota * (1.0 - 1.0 / senders))
    return in_flight > 0 and in_flight + 1 > quota + tolerance


class LatencyBaseline:
    """Moving average of the logarithm of a class's transfer time over a lightly loaded link."""

    __slots__ = ("log_ms",)

    def __init__(self) -> None:
        self.log_ms = math.nan

    def record(self, elapsed_ms: float, is_lightly_loaded: bool) -> float:
        """Learn from a response; returns the logarithm of the ratio of its time to the baseline."""
        log_ms = math.log(max(1.0, elapsed_ms))
        if math.isnan(self.log_ms):
            self.log_ms = log_ms
        self.log_ms += (EWMA_ALPHA if is_lightly_loaded else LOADED_LINK_EWMA_ALPHA) * (log_ms - self.log_ms)
        return log_ms - self.log_ms


class ConcurrencyLimit:
    """One server's learned capacity: concurrent transfers at full speed, of all senders together."""

    __slots__ = ("estimate", "in_flight", "log_factor", "log_slowdown", "rejecting_until_ms")

    def __init__(self) -> None:
        self.estimate = INITIAL_CAPACITY
        self.log_factor = 0.0  # logarithm of the ratio of the capacity to the estimate
        self.log_slowdown = 0.0  # moving average over responses
        self.in_flight = 1.0  # moving average of the transfers in flight at these responses
        self.rejecting_until_ms = 0.0

    @property
    def capacity(self) -> float:
        """The learned capacity."""
        return self.estimate * math.exp(self.log_factor)

    @property
    def min_capacity(self) -> float:
        """A conservative capacity, for decisions in which a value too high would make the server fail."""
        return max(1.0, MIN_FRACTION * min(self.capacity, self.estimate))

    def _adjust(self, step: float) -> None:
        limit = math.log(MAX_FACTOR)
        self.log_factor = min(limit, max(-limit, self.log_factor + step))

    def record_response(self, log_slowdown: float, in_flight: float) -> None:
        """Learn from a complete response, with `in_flight` transfers of all senders on the link."""
        self.log_slowdown += EWMA_ALPHA * (log_slowdown - self.log_slowdown)
        self.in_flight += EWMA_ALPHA * (in_flight - self.in_flight)
        log_in_flight = math.log(self.in_flight / self.estimate)
        if self.log_slowdown > SHARED_LINK_LOG_SLOWDOWN:
            self._adjust(GAIN * (log_in_flight - self.log_slowdown - self.log_factor))
        elif self.in_flight > self.capacity:
            self._adjust(GAIN * (log_in_flight - self.log_factor))
        self.rejecting_until_ms = 0.0

    def is_lightly_loaded(self, in_flight: float) -> bool:
        """Whether the link is lightly loaded with this many transfers."""
        return in_flight <= LIGHT_LOAD_FRACTION * self.capacity

    def record_rejection(self, now_ms: float) -> None:
        """Learn from a rejected attempt; rejections during the backoff don't lower the capacity again."""
        if now_ms >= self.rejecting_until_ms:
            self._adjust(-REJECTION_STEP)
        self.rejecting_until_ms = now_ms + REJECTION_BACKOFF_MS

    def is_rejecting(self, now_ms: float) -> bool:
        """Whether the backoff after a rejection has not ended yet."""
        return now_ms < self.rejecting_until_ms

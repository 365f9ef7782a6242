"""Durations of a lease, and the condition on them that keeps it exclusive within a bound on clock drift."""

from __future__ import annotations

from dataclasses import dataclass

MAX_CLOCK_DRIFT = 0.5


@dataclass(slots=True, frozen=True)
class LeaseConfig:
    """Durations in ms on a director's own monotonic clock; `clock_drift` bounds its rate against true time.

    A voter promises a lease for `promise_ms` from when it received the request; the holder uses it for
    `hold_ms` from when it sent the request. If hold * (1 + drift) <= promise * (1 - drift), the holder has
    stopped before any voter can promise the lease to another candidate (leases: Gray and Cheriton, 1989).
    """

    lease_ms: float = 1_000.0
    clock_drift: float = 0.02  # a clock may run 2 % fast or slow
    stop_margin_ms: float = 100.0  # the holder stops this long before its lease ends
    grant_margin_ms: float = 50.0  # past the lease's end, before a voter promises it to another candidate
    renewal_interval_ms: float = 300.0
    round_timeout_ms: float = 250.0  # an election round without a majority by then is abandoned
    max_retry_delay_ms: float = 200.0  # upper bound of a candidate's random delay before its next round

    @property
    def hold_ms(self) -> float:
        """How long a holder uses a lease, in ms from when it sent the request."""
        return self.lease_ms - self.stop_margin_ms

    @property
    def promise_ms(self) -> float:
        """How long a voter promises a lease, in ms from when it received the request."""
        return self.lease_ms + self.grant_margin_ms

    def validation_error(self) -> str | None:
        """Returns why these times are unsafe or unusable, as `setting: reason`, or None if they are valid."""
        if not 0.0 <= self.clock_drift < MAX_CLOCK_DRIFT:
            return "drift: must be at least 0 and below 0.5"
        if self.hold_ms <= 0.0:
            return "stop_margin_ms: leaves no time to hold"
        if self.hold_ms * (1.0 + self.clock_drift) > self.promise_ms * (1.0 - self.clock_drift):
            return "grant_margin_ms: too small for the drift; another could be promised while one still holds"
        if not 0.0 < self.renewal_interval_ms < self.hold_ms - self.round_timeout_ms:
            return "renew_every_ms: a renewal would not be answered before the lease ends"
        if self.round_timeout_ms <= 0.0 or self.max_retry_delay_ms <= 0.0:
            return "round_ms: not positive"
        return None


def majority(voter_count: int) -> int:
    """Returns the smallest number of voters such that any two sets of that size overlap."""
    return voter_count // 2 + 1

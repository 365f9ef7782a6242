"""Times of a lease, and the inequality that keeps it exclusive while clock rates stay within their bound."""

from __future__ import annotations

from dataclasses import dataclass

MAX_CLOCK_DRIFT = 0.5


@dataclass(slots=True, frozen=True)
class LeaseConfig:
    """Durations in ms on a director's own monotonic clock; `clock_drift` bounds its rate against true time.

    A voter promises a lease for `promise_ms` from when it received the request; the holder uses it for
    `hold_ms` from when it sent the request. It has stopped before any voter can promise the lease to another
    if hold * (1 + drift) <= promise * (1 - drift) (leases:
    Gray and Cheriton, 1989).
    """

    lease_ms: float = 1_000.0
    clock_drift: float = 0.02  # a clock may run 2 % fast or slow
    stop_margin_ms: float = 100.0  # the holder stops so much before its lease ends
    grant_margin_ms: float = 50.0  # a voter waits so much past the end before it promises to another
    renewal_interval_ms: float = 300.0
    round_timeout_ms: float = 250.0  # an election round without a majority by then is given up
    max_retry_delay_ms: float = 200.0  # a candidate's delay before its next round is drawn from 0 to this

    @property
    def hold_ms(self) -> float:
        """How long a lease is used, from when its holder asked for it."""
        return self.lease_ms - self.stop_margin_ms

    @property
    def promise_ms(self) -> float:
        """How long a voter promises a lease, from when it was asked for it."""
        return self.lease_ms + self.grant_margin_ms

    def validation_error(self) -> str | None:
        """Returns what makes these times unsafe or useless as `setting: reason`, or None."""
        if not 0.0 <= self.clock_drift < MAX_CLOCK_DRIFT:
            return "drift: not a fraction under 0.5"
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
    """Returns the smallest count such that any two sets of so many voters overlap."""
    return voter_count // 2 + 1

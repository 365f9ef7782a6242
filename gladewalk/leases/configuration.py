"""What a lease is set to, and the one inequality that keeps it safe while clocks stay within their bound."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LeaseTerms:
    """Times in ms on each director's own monotonic clock; `drift` bounds a clock's rate against true.

    A grantor promises `promise_ms` from when it heard the ask; a holder acts `hold_ms` from when it asked, so
    that it stops before any grantor can promise another: hold * (1 + drift) <= promise * (1 - drift).
    """

    lease_ms: float = 1_000.0
    drift: float = 0.02  # a clock may run 2 % fast or slow; 1 % is what the operators ask to bear
    stop_margin_ms: float = 100.0  # a holder stops so much before its lease ends
    grant_margin_ms: float = 50.0  # a grantor waits so much past it before it promises another
    renew_every_ms: float = 300.0  # a holder asks anew so often
    round_ms: float = 250.0  # an ask that has not won a majority by then is given up
    retry_ms: float = 200.0  # a candidate waits up to so much, drawn at random, before it asks again

    @property
    def hold_ms(self) -> float:
        return self.lease_ms - self.stop_margin_ms

    @property
    def promise_ms(self) -> float:
        return self.lease_ms + self.grant_margin_ms

    def fault(self) -> str | None:
        """What makes these terms unsafe or useless, as `key: why`; None if nothing does."""
        if not 0.0 <= self.drift < 0.5:
            return "drift: not a fraction under 0.5"
        if self.hold_ms <= 0.0:
            return "stop_margin_ms: leaves no time to hold"
        if self.hold_ms * (1.0 + self.drift) > self.promise_ms * (1.0 - self.drift):
            return "grant_margin_ms: too small for the drift; another could be promised while one still holds"
        if not 0.0 < self.renew_every_ms < self.hold_ms - self.round_ms:
            return "renew_every_ms: a renewal would not be answered before the lease ends"
        if self.round_ms <= 0.0 or self.retry_ms <= 0.0:
            return "round_ms: not positive"
        return None


def majority(electors: int) -> int:
    return electors // 2 + 1

"""Slow start of restarted servers: their capacity model, and one sender's share of the load they can handle.

Times are milliseconds of the caller's clock. Capacity is counted in concurrent transfers at full speed, work
in milliseconds of one transfer.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from .. import interface as api
from ..interface import Role

SAFETY_MARGIN = 0.8  # usable fraction of a server's budget, since capacities and mean times are estimates
GOLDEN_RATIO = 0.6180339887498949  # its multiples modulo 1 are spread evenly over the unit interval
BURST_FRACTION = 0.3  # a sender may save up this fraction of its budget per window, beyond one request


@dataclass(slots=True, frozen=True)
class SlowStart:
    """Slow-start capacity model: a linear ramp from `initial_fraction` to 1 over `ramp_ms`."""

    initial_fraction: float = 1.0
    ramp_ms: float = 0.0
    overload_multiple: float = 1.0  # the load at which a server fails, as a multiple of its current capacity

    def is_warming_up(self, started_ms: float, now_ms: float) -> bool:
        """Whether the ramp has not ended yet; a `started_ms` of 0 means that the server started long ago."""
        return started_ms > 0 and self.ramp_ms > 0 and now_ms < started_ms + self.ramp_ms

    def capacity_fraction(self, started_ms: float, at_ms: float) -> float:
        """The least fraction of its full capacity that a server has at `at_ms`."""
        age_ms = max(0.0, at_ms - started_ms)
        if not started_ms or age_ms >= self.ramp_ms:
            return 1.0
        return self.initial_fraction + (1.0 - self.initial_fraction) * age_ms / self.ramp_ms

    def sustainable_rate(self, capacity: float) -> float:
        """Work per millisecond that all senders together may send to a server of this current capacity."""
        return SAFETY_MARGIN * self.overload_multiple * capacity


def slow_start_by_role(settings: api.Settings) -> dict[Role, SlowStart]:
    """The slow-start model of each tier; an origin has none, as it never restarts."""
    return {
        Role.CACHE: SlowStart(
            settings.slow_start_fraction, settings.slow_start_ms, settings.overload_multiple
        ),
        Role.PARENT: SlowStart(
            settings.parent_slow_start_fraction,
            settings.parent_slow_start_ms,
            settings.parent_overload_multiple,
        ),
        Role.ORIGIN: SlowStart(),
    }


def subset_position(dispatcher_index: int, hash_salt: int, rng: random.Random) -> float:
    """A sender's position in [0, 1) among a server's senders: evenly spread by index, random without one."""
    if dispatcher_index < 0:
        return rng.random()
    return (dispatcher_index * GOLDEN_RATIO + hash_salt / 2.0**64) % 1.0


class SlowStartBudget:
    """One sender's share of a restarted server's budget: a token bucket with sender subsetting.

    No sender knows how much the others send, so their sum could overload the server: thirty senders that each
    saved up one request would send thirty at once. Therefore only as many senders are active as the server
    can serve requests at a time; each decides by its own position whether it is, and the active ones share
    the whole budget. More senders become active as the server warms up, and they start one after another.
    Processes that serve as one sender are active together and divide what it may send; a smaller share starts
    later, so that they do not all send a first request at once.
    """

    __slots__ = ("position", "tokens_ms", "updated_ms")

    def __init__(self) -> None:
        self.tokens_ms = math.nan  # milliseconds of work; NaN while this sender is not active
        self.updated_ms = 0.0
        self.position = math.nan

    def allows(
        self,
        now_ms: float,
        rate: float,
        senders: int,
        window_ms: float,
        mean_ms: float,
        position: float,
        share: float = 1.0,
    ) -> bool:
        """Whether one more request may be sent now; the caller then withdraws its work, also beyond zero.

        `rate` is the work per millisecond of all `senders` together, `window_ms` the overload window, and
        `mean_ms` the work of a mean request. `position`, in [0, 1), is stored at the first call. `share` is
        this process's part of the sender's budget.
        """
        if math.isnan(self.position):
            self.position = position
        active_senders = min(senders, max(1.0, rate * window_ms / mean_ms))
        rank = self.position * senders / active_senders
        if rank >= 1.0:
            self.tokens_ms = math.nan
            return False
        if math.isnan(self.tokens_ms):
            self.tokens_ms, self.updated_ms = -(rank + 1.0 - share) * mean_ms, now_ms
        own_rate = rate / active_senders * share
        max_tokens_ms = max(0.0, own_rate * window_ms * BURST_FRACTION - mean_ms)
        self.tokens_ms = min(max_tokens_ms, self.tokens_ms + own_rate * (now_ms - self.updated_ms))
        self.updated_ms = now_ms
        return self.tokens_ms >= 0.0

    def withdraw(self, work_ms: float) -> None:
        """Subtract the work of a request that is sent."""
        self.tokens_ms -= work_ms

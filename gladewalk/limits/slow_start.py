"""A cold server's capacity, rising from a part to the whole, and one sender's part of the budget it bears.

Times are ms of whatever clock the caller keeps; capacity is in transfers at full pace, work in ms of one.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from .. import interface as api
from ..interface import Role

COLD_MARGIN = 0.8  # part of a cold server's budget that we plan with; sizes and means are estimates (ours)
GOLDEN = 0.6180339887498949  # multiples of it fill a circle evenly, wherever one begins and ends
COLD_BURST = 0.3  # part of a fall window's budget that a sender may save up over one request (ours)


@dataclass(slots=True, frozen=True)
class Warming:
    """How the servers of one role warm up, as the settings tell: a straight line at the slowest."""

    share: float = 1.0  # of the capacity, at the start
    ramp_ms: float = 0.0
    multiple: float = 1.0  # of the present capacity, at which it falls over

    def is_cold(self, started_ms: float, now_ms: float) -> bool:
        """`started_ms` 0: long ago."""
        return started_ms > 0 and self.ramp_ms > 0 and now_ms < started_ms + self.ramp_ms

    def warmth(self, started_ms: float, at_ms: float) -> float:
        """The part of its capacity that a server has at that time, at the least."""
        age = max(0.0, at_ms - started_ms)
        if not started_ms or age >= self.ramp_ms:
            return 1.0
        return self.share + (1.0 - self.share) * age / self.ramp_ms

    def bears(self, capacity: float) -> float:
        """Work a ms that may be planned for a server that has this capacity now, by all senders together."""
        return COLD_MARGIN * self.multiple * capacity


def warming_of(settings: api.Settings) -> dict[Role, Warming]:
    """How the servers of each role warm up; an origin never starts."""
    t = settings
    return {
        Role.CACHE: Warming(t.slow_start_fraction, t.slow_start_ms, t.overload_multiple),
        Role.PARENT: Warming(
            t.parent_slow_start_fraction, t.parent_slow_start_ms, t.parent_overload_multiple
        ),
        Role.ORIGIN: Warming(),
    }


def drawn(me: int, salt: int, rng: random.Random) -> float:
    """From [0, 1): a sender's lot at one server. Numbered senders spread evenly, others by chance."""
    return (me * GOLDEN + salt / 2.0**64) % 1.0 if me >= 0 else rng.random()


class Credit:
    """One sender's part of a cold server's budget: earned as time goes by, spent with each attempt.

    No sender knows what the others do. Guards against the sum of many, each of which may save up no more
    than one request: thirty that get work at once, after a lull or at the server's start, would send thirty.
    So only as many take part as the server bears at one time, each by its own lot and with so much more of
    the budget, more of them as it warms up (subsetting); and they begin one behind the other.
    """

    __slots__ = ("at_ms", "left", "lot")

    def __init__(self) -> None:
        self.left, self.at_ms = math.nan, 0.0  # nothing earned yet
        self.lot = math.nan

    def has_room(
        self, now_ms: float, rate: float, senders: int, window_ms: float, mean_ms: float, lot: float
    ) -> bool:
        """Whether one more request may be sent now; what it takes is spent afterwards, into debt if need be.

        `rate` is the work a ms of all `senders` together, `window_ms` the time in which a server falls,
        `mean_ms` the work of a usual request; the first `lot` from [0, 1) is kept.
        """
        if math.isnan(self.lot):
            self.lot = lot
        few = min(senders, max(1.0, rate * window_ms / mean_ms))
        place = self.lot * senders / few
        if place >= 1.0:
            self.left = math.nan  # who takes part later begins anew
            return False
        if math.isnan(self.left):
            self.left, self.at_ms = -place * mean_ms, now_ms
        saved = max(0.0, rate / few * window_ms * COLD_BURST - mean_ms)
        self.left = min(saved, self.left + rate / few * (now_ms - self.at_ms))
        self.at_ms = now_ms
        return self.left >= 0.0

    def spend(self, work_ms: float) -> None:
        self.left -= work_ms

"""The two clocks of a director, and the conversions between them.

Every deadline, timer, window, backoff, ramp and grace period is a duration of real time and is measured by
the steady clock, which follows the machine's monotonic clock. The steady clock is set to Unix time once, when
it is created, so that its readings are Unix milliseconds as long as the wall clock is not stepped.

The wall clock may be stepped, forward or back, at any time. It is read only for instants that are received
from or sent to another machine. Its readings are `UnixInstant`s, which cannot be added to or compared with
readings of the steady clock; only `InstantConverter` converts between the two.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

SteadyClock = Callable[[], float]
"""Returns steady milliseconds: Unix time when the clock was created, plus the real time since then."""

MAX_REMEMBERED_INSTANTS = 16_384
"""Limits the memory of `InstantConverter`: beyond this number the oldest converted instant is forgotten."""

MIN_STEP_MS = 50.0
"""A difference between the clocks up to this is drift or the time between two readings, and not a step."""


@dataclass(frozen=True, slots=True, order=True)
class UnixInstant:
    """A reading of a wall clock, this machine's or another's, in Unix milliseconds."""

    unix_ms: float


WallClock = Callable[[], UnixInstant]


def read_wall_clock() -> UnixInstant:
    """Returns the machine's wall clock, which may be stepped between two readings."""
    return UnixInstant(time.time() * 1000.0)


class AnchoredClock:
    """A steady clock: the monotonic clock, shifted once so that it reads Unix milliseconds when created."""

    def __init__(self) -> None:
        self._anchor_ms = time.time() * 1000.0 - time.monotonic() * 1000.0

    def __call__(self) -> float:
        """Returns steady milliseconds."""
        return time.monotonic() * 1000.0 + self._anchor_ms


class InstantConverter:
    """Converts instants of other machines to steady time, and the present to an instant for them.

    After a step the wall clock and the steady clock disagree, and it is unknown which of them is right. An
    instant is then converted to the more recent of the two possible times, but never to a future one. A purge
    that is taken to be more recent than it is costs an unnecessary fill, and a server that is taken to have
    started later gets a smaller slow-start budget. The opposite error would serve a stale copy or overload a
    cold server. Each instant is converted once and the result is kept, so that the same instant, received
    again after a step, is converted to the same time.
    """

    def __init__(self, clock: SteadyClock, wall_clock: WallClock) -> None:
        self._clock, self._wall_clock = clock, wall_clock
        self._converted: dict[UnixInstant, float] = {}

    def step_ms(self) -> float:
        """Returns how far the wall clock has been stepped since the steady clock was created, 0 if not."""
        step_ms = self._wall_clock().unix_ms - self._clock()
        return step_ms if abs(step_ms) > MIN_STEP_MS else 0.0

    def to_steady(self, instant: UnixInstant) -> float:
        """Returns an instant of another machine in steady milliseconds, at most the current time."""
        steady_ms = self._converted.get(instant)
        if steady_ms is None:
            latest_ms = max(instant.unix_ms, instant.unix_ms - self.step_ms())
            steady_ms = min(self._clock(), latest_ms)
            if len(self._converted) >= MAX_REMEMBERED_INSTANTS:
                del self._converted[next(iter(self._converted))]
            self._converted[instant] = steady_ms
        return steady_ms

    def current_instant(self) -> UnixInstant:
        """Returns the current instant to send to another machine: the later of the two clocks' readings."""
        return UnixInstant(max(self._clock(), self._wall_clock().unix_ms))

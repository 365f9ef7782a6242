"""The two clocks of a director, and the conversions between them.

Every deadline, timer, window, backoff, ramp and grace is a span of real time and is measured by the steady
clock, which runs with the machine's monotonic clock. It is anchored once, at its creation, to Unix time, so
that its readings are Unix milliseconds as long as the wall clock is not stepped.

The wall clock may be stepped, forward or back, at any time. It is read only where an instant comes from or
goes to another machine; its readings are `UnixInstant`s, which cannot be added to or compared with readings
of the steady clock. `InstantConverter` is the one place where they meet.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

SteadyClock = Callable[[], float]
"""Returns steady milliseconds: Unix time at the anchor, and real time since then."""

MAX_REMEMBERED_INSTANTS = 16_384
"""Bounds the memory of `InstantConverter`."""

MIN_STEP_MS = 50.0
"""Differences between the clocks up to this are drift and the time between two readings, not a step."""


@dataclass(frozen=True, slots=True, order=True)
class UnixInstant:
    """A reading of a wall clock, this machine's or another's, in Unix milliseconds."""

    unix_ms: float


WallClock = Callable[[], UnixInstant]


def read_wall_clock() -> UnixInstant:
    """Returns the machine's wall clock, which may be stepped between two readings."""
    return UnixInstant(time.time() * 1000.0)


class AnchoredClock:
    """A steady clock: the monotonic clock, shifted once so that it reads Unix milliseconds at the start."""

    def __init__(self) -> None:
        self._anchor_ms = time.time() * 1000.0 - time.monotonic() * 1000.0

    def __call__(self) -> float:
        """Returns steady milliseconds."""
        return time.monotonic() * 1000.0 + self._anchor_ms


class InstantConverter:
    """Converts instants of other machines to steady time, and the present to an instant for them.

    After a step the wall clock and the steady clock disagree, and nothing tells which of them is right. An
    instant is then taken to be as young as either of them says, and never to lie in the future: a purge that
    is taken to be younger than it is costs a fill, a server taken to have started later gets a colder budget;
    the reverse would serve a stale copy or overload a cold server. An instant is converted once: the same
    one, told again after a step, still is the same.
    """

    def __init__(self, clock: SteadyClock, wall_clock: WallClock) -> None:
        self._clock, self._wall_clock = clock, wall_clock
        self._converted: dict[UnixInstant, float] = {}

    def step_ms(self) -> float:
        """Returns how far the wall clock has been stepped since the anchor, 0 for none."""
        step_ms = self._wall_clock().unix_ms - self._clock()
        return step_ms if abs(step_ms) > MIN_STEP_MS else 0.0

    def to_steady(self, instant: UnixInstant) -> float:
        """Returns an instant of another machine in steady milliseconds, at most the present."""
        steady_ms = self._converted.get(instant)
        if steady_ms is None:
            youngest_ms = max(instant.unix_ms, instant.unix_ms - self.step_ms())
            steady_ms = min(self._clock(), youngest_ms)
            if len(self._converted) >= MAX_REMEMBERED_INSTANTS:
                del self._converted[next(iter(self._converted))]
            self._converted[instant] = steady_ms
        return steady_ms

    def now(self) -> UnixInstant:
        """Returns the present for another machine, as late as either clock says."""
        return UnixInstant(max(self._clock(), self._wall_clock().unix_ms))

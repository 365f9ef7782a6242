"""How many transfers a server's link bears, where nothing reports its load: an adaptive concurrency limit.

A link with room for k transfers at full pace that n share runs each at k/n of it. Who sends to it sees its
own transfers out, how long each took, and what was turned away. Two ways to a limit were weighed and measured
in docs/overload.md: the gradient (time taken over the usual time of the class) and AIMD on answers that came
late. Both start from a guess and stay within a factor of it.
"""

from __future__ import annotations

import math

GUESS = 4.0  # transfers that a server of which nothing was told is taken to bear (ours)
LEAST = 0.5  # part of a guess that it holds at the least; told links are no exact measure (ours)
SPAN = 3.0  # times the guess, or that part of it, at which a learned size stops (ours)
CROWD = 0.75  # part of the slowdown that still meets the aim up to which a server is filled (ours)
CROWD_SPREAD = 0.8  # standard deviations that our part of its traffic may lie over the mean (ours)
SMOOTH = 0.05  # weight of a new answer in moving averages (ours)
DRIFT = 0.002  # and where the link was crowded: the usual time is not learned from that (ours)
FELT = 0.15  # logarithm of the slowdown from which a link is held to be shared out (ours)
GAIN = 0.02  # part of the way to what an answer shows that the size goes (ours)
LIGHT = 0.7  # part of the size, in transfers out, up to which nobody crowds a link (ours)
FULL_STEP = 0.15  # and that being turned away takes off (ours)
FULL_MS = 150.0  # a server that turned work away rests this long, or till something ends there (ours)


def is_over(out: int, size: float, senders: int, slowdown: float) -> bool:
    """Whether one transfer more would slow a link past `slowdown`, with `out` of our own on it.

    Our own, times the senders, stand for all. Guards against overload, where late answers crowd out those
    that could be in time.
    """
    ours = max(1.0, CROWD * slowdown) * max(1.0, size) / senders
    return out > 0 and out + 1 > ours + CROWD_SPREAD * math.sqrt(ours * (1.0 - 1.0 / senders))


class Usual:
    """Logarithm of the time that a class's answers take on a link that nobody crowds."""

    __slots__ = ("log",)

    def __init__(self) -> None:
        self.log = math.nan

    def slow(self, took_ms: float, light: bool) -> float:
        """Learn from an answer, and tell the logarithm of its time over the usual."""
        log = math.log(max(1.0, took_ms))
        if math.isnan(self.log):
            self.log = log
        self.log += (SMOOTH if light else DRIFT) * (log - self.log)
        return log - self.log


class Room:
    """One server's limit, learned. `size` is in transfers at full pace, of all senders together."""

    __slots__ = ("full_until", "guess", "log", "out", "slow")

    def __init__(self) -> None:
        self.guess, self.log = GUESS, 0.0  # logarithm of the size over the guess
        self.slow, self.out = 0.0, 1.0  # logarithm of the usual slowdown, and the transfers out with it
        self.full_until = 0.0

    @property
    def size(self) -> float:
        return self.guess * math.exp(self.log)

    @property
    def at_least(self) -> float:
        """What is planned with where too much would fell it."""
        return max(1.0, LEAST * min(self.size, self.guess))

    def _step(self, by: float) -> None:
        most = math.log(SPAN)
        self.log = min(most, max(-most, self.log + by))

    def answered(self, slow: float, out: float) -> None:
        """A whole answer from the server itself, with `out` transfers of all senders on its link."""
        self.slow += SMOOTH * (slow - self.slow)
        self.out += SMOOTH * (out - self.out)
        if self.slow > FELT:
            self._step(GAIN * (math.log(self.out / self.guess) - self.slow - self.log))
        elif self.out > self.size:
            self._step(GAIN * (math.log(self.out / self.guess) - self.log))
        self.full_until = 0.0

    def is_light(self, out: float) -> bool:
        return out <= LIGHT * self.size

    def turned_away(self, now_ms: float) -> None:
        """It took nothing: no use to knock again before something of ours has ended there."""
        if now_ms >= self.full_until:  # what was sent together says it once
            self._step(-FULL_STEP)
        self.full_until = now_ms + FULL_MS

    def is_full(self, now_ms: float) -> bool:
        return now_ms < self.full_until

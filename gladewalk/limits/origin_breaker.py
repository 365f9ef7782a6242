"""Fills that may reach the origin: while it fails them, one try a rest, longer with each further failure.

Guards against a collapse that keeps itself up: every dispatcher may have a fill out at each parent, all of
them pass on what they lack, and a slowed origin that is asked by all at once serves none in time, writes
neither. A rate is adapted and not a number out, since one out for each of hundreds is too much already.
Writes pass: they are the origin's own work, and small.
"""

from __future__ import annotations

from ..interface import Status
from .backoff import BACKOFF_MOST_MS, BACKOFF_MS

CHANCE = 1  # failures in a row that close nothing (ours)
FAILED = (Status.OK, Status.REJECTED, Status.ERROR, Status.TIMEOUT)  # an answer too late among them
TRY_MS = 100.0  # time for one try of all dispatchers together, at the longest rests (ours)


class OriginGate:
    def __init__(self, senders: int = 1) -> None:
        self.most_ms = max(BACKOFF_MOST_MS, TRY_MS * senders)
        self.fails, self.until_ms = 0, 0.0

    def is_open(self, now_ms: float) -> bool:
        return self.fails <= CHANCE or now_ms >= self.until_ms

    def sent(self, now_ms: float, may_reach: bool = True) -> None:
        """A fill goes out that may reach it: while it fails, the next one waits for a rest."""
        if may_reach and self.fails > CHANCE:
            rest = BACKOFF_MS * 2.0 ** min(self.fails - CHANCE - 1, 10)
            self.until_ms = now_ms + min(self.most_ms, rest)

    def learn(self, now_ms: float, status: Status, took_ms: float, aim_ms: float) -> None:
        """What came of work that reached it, a write or a fill, and how long its client has waited."""
        if status is Status.OK and took_ms <= aim_ms:
            self.fails //= 2  # by steps, so that not all come back at one moment
        elif status in FAILED and now_ms >= self.until_ms:
            self.fails += 1  # what was sent together says it once
            self.sent(now_ms)

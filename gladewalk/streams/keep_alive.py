"""Bounds in time: what a peer may send that carries nothing, how often we cancel, how long silence lasts."""

from __future__ import annotations

from enum import Enum


class Bucket:
    """So many at once, and so many a second."""

    def __init__(self, burst: float, per_s: float, now_ms: float) -> None:
        self.burst, self.per_s = float(burst), per_s
        self._left, self._at = float(burst), now_ms

    def take(self, now_ms: float) -> bool:
        """Whether one more is within the bound; if so it is counted."""
        if now_ms > self._at:
            self._left = min(self.burst, self._left + (now_ms - self._at) / 1000.0 * self.per_s)
            self._at = now_ms
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


class Pulse(Enum):
    QUIET = "quiet"  # nothing to do
    PING = "ping"  # ask whether it still lives
    DEAD = "dead"  # it does not


class Liveness:
    """Whether a connection lives: with nothing heard it is asked, and with no word after that it is dead.

    Any byte counts as a word: a server that is busy sending need not answer a PING first. A connection that
    is owed nothing is not asked.
    """

    def __init__(self, after_ms: float, wait_ms: float, now_ms: float) -> None:
        self.after_ms, self.wait_ms = after_ms, wait_ms
        self.heard_ms = now_ms
        self.asked_ms: float | None = None

    def heard(self, now_ms: float) -> None:
        self.heard_ms, self.asked_ms = now_ms, None

    def woke(self, now_ms: float) -> None:
        """It had nothing to say; from now on it has."""
        if self.asked_ms is None:
            self.heard_ms = max(self.heard_ms, now_ms)

    def pulse(self, owed: bool, now_ms: float) -> Pulse:
        if self.asked_ms is not None:
            return Pulse.DEAD if now_ms - self.asked_ms >= self.wait_ms else Pulse.QUIET
        if not owed or now_ms - self.heard_ms < self.after_ms:
            return Pulse.QUIET
        self.asked_ms = now_ms
        return Pulse.PING

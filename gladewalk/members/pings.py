"""Bookkeeping of direct and indirect pings, and the measured round-trip time.

The round-trip time is the median of the last few answers. On paths slower than the configuration foresees,
timeouts and periods grow with it, so that nobody is suspected for a slow path.
"""

from __future__ import annotations

import statistics
from collections import OrderedDict, deque
from dataclasses import dataclass

from .actions import Address
from .config import MembershipConfig

TIMEOUT_FACTOR = 1.5  # times the round-trip time: how long an answer is awaited
PERIOD_FACTOR = 2.5  # times that timeout: a period holds a direct ping, then an indirect one
MAX_PERIOD_FACTOR = 8.0  # times the configured period: the longest that slow paths make of it
MAX_SENT_PINGS = 64  # pings whose late answers are still measured
MAX_ROUND_TRIP_PERIODS = 6.0  # a later answer tells of a stalled process and nothing of the path
ROUND_TRIP_SAMPLES = 5


@dataclass(slots=True)
class PendingPing:
    """The ping of this period, whose answer is awaited."""

    name: str
    sequence: int
    sent_ms: float
    has_asked_helpers: bool = False
    helper_count: int = 0
    nack_count: int = 0


@dataclass(slots=True)
class IndirectPing:
    """A ping on behalf of another member, which is answered with its own sequence number."""

    requester: Address
    requester_sequence: int
    due_ms: float


class PingTracker:
    """Pending and indirect pings by sequence number, and the timeouts that follow from answers.

    Times are in ms; `health_score` is the local health (0: healthy).
    """

    def __init__(self, config: MembershipConfig) -> None:
        self.pending: PendingPing | None = None
        self.round_trip_ms = 0.0  # 0 until the first answer
        self._config = config
        self._indirect: dict[int, IndirectPing] = {}
        self._sent_ms: OrderedDict[int, float] = OrderedDict()
        self._last_sequence = 0
        self._samples_ms: deque[float] = deque(maxlen=ROUND_TRIP_SAMPLES)

    def timeout_ms(self, health_score: int) -> float:
        """How long a direct answer is awaited."""
        return max(self._config.ping_timeout_ms * (1 + health_score), TIMEOUT_FACTOR * self.round_trip_ms)

    def period_ms(self, health_score: int) -> float:
        """Time between two pings: long enough for a direct answer and then for an indirect one."""
        slow_ms = min(
            PERIOD_FACTOR * TIMEOUT_FACTOR * self.round_trip_ms,
            MAX_PERIOD_FACTOR * self._config.ping_period_ms,
        )
        return max(self._config.ping_period_ms * (1 + health_score), slow_ms)

    def start(self, name: str, now_ms: float) -> int:
        """Makes a ping of `name` the pending one; returns its sequence number."""
        sequence = self._next_sequence(now_ms)
        self.pending = PendingPing(name, sequence, now_ms)
        return sequence

    def on_ack(self, sequence: int, now_ms: float) -> bool:
        """Measures an answer; returns whether it ends the pending ping."""
        sent_ms = self._sent_ms.pop(sequence, None)
        if sent_ms is not None:
            self._measure(now_ms - sent_ms)
        if self.pending is None or self.pending.sequence != sequence:
            return False
        self.pending = None
        return True

    def on_nack(self, sequence: int) -> None:
        """Counts a helper that has heard nothing from the pending ping's target."""
        if self.pending is not None and self.pending.sequence == sequence:
            self.pending.nack_count += 1

    def start_indirect(self, requester: Address, requester_sequence: int, now_ms: float) -> int:
        """Notes a ping on behalf of another member; returns its sequence number.

        Above `max_members` of them the ping is sent, and its answer is not passed on.
        """
        sequence = self._next_sequence(now_ms)
        if len(self._indirect) < self._config.max_members:
            due_ms = now_ms + max(self._config.ping_timeout_ms, TIMEOUT_FACTOR * self.round_trip_ms)
            self._indirect[sequence] = IndirectPing(requester, requester_sequence, due_ms)
        return sequence

    def take_indirect(self, sequence: int) -> IndirectPing | None:
        """Removes and returns the indirect ping of this sequence number, if there is one."""
        return self._indirect.pop(sequence, None)

    def take_overdue_indirect(self, now_ms: float) -> list[IndirectPing]:
        """Removes and returns the indirect pings that were not answered in time."""
        overdue = [sequence for sequence, ping in self._indirect.items() if now_ms >= ping.due_ms]
        return [self._indirect.pop(sequence) for sequence in overdue]

    def due_times_ms(self, health_score: int) -> list[float]:
        """When pings that are awaited now time out."""
        times_ms = [ping.due_ms for ping in self._indirect.values()]
        if self.pending is not None and not self.pending.has_asked_helpers:
            times_ms.append(self.pending.sent_ms + self.timeout_ms(health_score))
        return times_ms

    def shift(self, by_ms: float) -> None:
        """Moves all times, after the local clock jumped or the process was stopped."""
        self._sent_ms.clear()  # answers to these would measure the stop and not the path
        if self.pending is not None:
            self.pending.sent_ms += by_ms
        for ping in self._indirect.values():
            ping.due_ms += by_ms

    def _measure(self, round_trip_ms: float) -> None:
        if round_trip_ms < MAX_ROUND_TRIP_PERIODS * self._config.ping_period_ms:
            self._samples_ms.append(round_trip_ms)
            self.round_trip_ms = statistics.median_low(self._samples_ms)

    def _next_sequence(self, now_ms: float) -> int:
        self._last_sequence += 1
        self._sent_ms[self._last_sequence] = now_ms
        while len(self._sent_ms) > MAX_SENT_PINGS:
            self._sent_ms.popitem(last=False)
        return self._last_sequence

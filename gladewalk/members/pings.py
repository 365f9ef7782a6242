"""Bookkeeping of direct and indirect pings, and the measured round-trip time.

The round-trip time is the median over the last few acks. If it is long compared with the configured timeout,
timeouts and periods are extended, so that members are not suspected because of a slow path.
"""

from __future__ import annotations

import statistics
from collections import OrderedDict, deque
from dataclasses import dataclass

from .actions import Address
from .config import MembershipConfig

TIMEOUT_FACTOR = 1.5  # times the round-trip time: shortest timeout of a ping
PERIOD_FACTOR = 2.5  # times that timeout: a period must be long enough for a direct, then an indirect ping
MAX_PERIOD_FACTOR = 8.0  # times the configured period: the longest period that slow paths can cause
MAX_SENT_PINGS = 64  # pings of which the round-trip time is still measured if their ack is delayed
MAX_ROUND_TRIP_PERIODS = 6.0  # an ack delayed by more is due to a stalled process, not to the path
ROUND_TRIP_SAMPLES = 5


@dataclass(slots=True)
class PendingPing:
    """The ping of this period, while its ack is pending."""

    name: str
    sequence: int
    sent_ms: float
    has_requested_indirect_pings: bool = False
    helper_count: int = 0
    nack_count: int = 0


@dataclass(slots=True)
class IndirectPing:
    """A ping on behalf of another member, the requester, which gets an ack with its own sequence number."""

    requester: Address
    requester_sequence: int
    due_ms: float


class PingTracker:
    """Pending and indirect pings by sequence number, and timeouts derived from measured round-trip times.

    Times are in ms; `health_score` is the local health (0: healthy).
    """

    def __init__(self, config: MembershipConfig) -> None:
        self.pending: PendingPing | None = None
        self.round_trip_ms = 0.0  # 0 until the first ack
        self._config = config
        self._indirect: dict[int, IndirectPing] = {}
        self._sent_ms: OrderedDict[int, float] = OrderedDict()
        self._last_sequence = 0
        self._samples_ms: deque[float] = deque(maxlen=ROUND_TRIP_SAMPLES)

    def timeout_ms(self, health_score: int) -> float:
        """Timeout of a direct ping."""
        return max(self._config.ping_timeout_ms * (1 + health_score), TIMEOUT_FACTOR * self.round_trip_ms)

    def period_ms(self, health_score: int) -> float:
        """Time between two pings: long enough for a direct ping and then for indirect ones."""
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
        """Measures the round-trip time of an ack; returns whether the ack is for the pending ping."""
        sent_ms = self._sent_ms.pop(sequence, None)
        if sent_ms is not None:
            self._measure(now_ms - sent_ms)
        if self.pending is None or self.pending.sequence != sequence:
            return False
        self.pending = None
        return True

    def on_nack(self, sequence: int) -> None:
        """Counts a helper that has received no ack from the pending ping's target."""
        if self.pending is not None and self.pending.sequence == sequence:
            self.pending.nack_count += 1

    def start_indirect(self, requester: Address, requester_sequence: int, now_ms: float) -> int:
        """Registers a ping on behalf of another member; returns its sequence number.

        If `max_members` such pings are pending already, the ping is sent, but its ack is not forwarded.
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
        """Removes and returns the indirect pings that have timed out."""
        overdue = [sequence for sequence, ping in self._indirect.items() if now_ms >= ping.due_ms]
        return [self._indirect.pop(sequence) for sequence in overdue]

    def due_times_ms(self, health_score: int) -> list[float]:
        """Times at which the pending and indirect pings time out."""
        times_ms = [ping.due_ms for ping in self._indirect.values()]
        if self.pending is not None and not self.pending.has_requested_indirect_pings:
            times_ms.append(self.pending.sent_ms + self.timeout_ms(health_score))
        return times_ms

    def shift(self, by_ms: float) -> None:
        """Shifts all stored times, after the local clock jumped or the process was stopped."""
        self._sent_ms.clear()  # round-trip times of these pings would include the stop
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

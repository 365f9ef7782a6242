"""Pings whose answers are awaited, those for others, and how long answers take. No I/O.

How long answers take is the median of the last few, late ones among them: one that a stall held up says
nothing of the path. On paths slower than the settings foresee, pings wait longer before they accuse anybody.
"""

from __future__ import annotations

import statistics
from collections import OrderedDict, deque
from dataclasses import dataclass

from .actions import Address
from .config import MembershipConfig

SLOW = 1.5  # times the time that answers take, for one that is awaited
KEPT = 64  # pings whose late answers still tell something
SLOWEST_PERIODS = 6.0  # an answer later than so many periods tells of a stall and not of a path
SAMPLES = 5
STRETCH_MOST = 8.0  # times the period that slow paths may make of it


@dataclass(slots=True)
class Asking:
    """A ping whose answer is awaited."""

    name: str
    sequence: int
    sent_ms: float
    helped: bool = False  # go-betweens have been asked
    helpers: int = 0
    nacks: int = 0


@dataclass(slots=True)
class Errand:
    """A ping for another member."""

    asker: Address
    sequence: int
    due_ms: float


class Pings:
    def __init__(self, terms: MembershipConfig) -> None:
        self.terms = terms
        self.asking: Asking | None = None
        self.errands: dict[int, Errand] = {}
        self.sent: OrderedDict[int, float] = OrderedDict()
        self.numbers = 0
        self.samples: deque[float] = deque(maxlen=SAMPLES)
        self.answer_ms = 0.0

    def timeout_ms(self, health: int) -> float:
        """For a direct answer."""
        return max(self.terms.ping_timeout_ms * (1 + health), SLOW * self.answer_ms)

    def period_ms(self, health: int) -> float:
        """Between pings: long enough for an answer and then for one by go-betweens, who ask anew."""
        slow_ms = min(2.5 * SLOW * self.answer_ms, STRETCH_MOST * self.terms.ping_period_ms)
        return max(self.terms.ping_period_ms * (1 + health), slow_ms)

    def ask(self, name: str, now_ms: float) -> int:
        """A ping's number, whose answer is awaited from now."""
        number = self._number(now_ms)
        self.asking = Asking(name, number, now_ms)
        return number

    def answered(self, number: int, now_ms: float) -> bool:
        """Whether it is the answer that is awaited; any answer tells how long they take."""
        sent_ms = self.sent.pop(number, None)
        if (
            sent_ms is not None
            and (took_ms := now_ms - sent_ms) < SLOWEST_PERIODS * self.terms.ping_period_ms
        ):
            self.samples.append(took_ms)
            self.answer_ms = statistics.median_low(self.samples)
        if self.asking is None or self.asking.sequence != number:
            return False
        self.asking = None
        return True

    def run_errand(self, asker: Address, number: int, now_ms: float) -> int:
        """A ping's number for one that is asked on another's behalf."""
        mine = self._number(now_ms)
        if len(self.errands) < self.terms.max_members:
            due = now_ms + max(self.terms.ping_timeout_ms, SLOW * self.answer_ms)
            self.errands[mine] = Errand(asker, number, due)
        return mine

    def ended_errands(self, now_ms: float) -> list[Errand]:
        """Errands that nobody has answered in time."""
        return [self.errands.pop(n) for n in [n for n, e in self.errands.items() if now_ms >= e.due_ms]]

    def due_ms(self, health: int) -> list[float]:
        times = [errand.due_ms for errand in self.errands.values()]
        if self.asking is not None and not self.asking.helped:
            times.append(self.asking.sent_ms + self.timeout_ms(health))
        return times

    def shift(self, by_ms: float) -> None:
        self.sent.clear()  # what was asked before a stall tells nothing of the path
        if self.asking is not None:
            self.asking.sent_ms += by_ms
        for errand in self.errands.values():
            errand.due_ms += by_ms

    def _number(self, now_ms: float) -> int:
        self.numbers += 1
        self.sent[self.numbers] = now_ms
        while len(self.sent) > KEPT:
            self.sent.popitem(last=False)
        return self.numbers

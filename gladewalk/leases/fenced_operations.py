"""Acts of held duties on their way to their sinks: sent with the token read just then, until taken. No I/O.

A sink that does not answer is tried again after growing waits. What a sink refuses was sent under a token
that a later holder has outdone: the candidate is told, and stops. A bare act (number 0) is no more than the
token: it is sent to every sink now and then, which raises the fences against whoever held before.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from .messages import Acked, Act
from .outputs import Out, Send

FIRST_WAIT_MS = 150.0
WAIT_MOST_MS = 5_000.0
PENDING_MOST = 4_096  # acts that wait for their sinks' word: bounds memory


@dataclass(slots=True)
class Pending:
    duty: str
    sink: str
    id: str
    body: bytes
    due_ms: float
    wait_ms: float = FIRST_WAIT_MS


class Acts:
    """Of one director; `sinks` names the sinks of each duty."""

    def __init__(self, name: str, sinks: dict[str, tuple[str, ...]]) -> None:
        self.name, self.sinks = name, sinks
        self.pending: dict[int, Pending] = {}
        self.waiting: Counter[tuple[str, str]] = Counter()  # (duty, id) -> sinks that have not taken it
        self.numbers = 0

    def waits(self, duty: str, id: str) -> bool:
        return (duty, id) in self.waiting

    def do(self, duty: str, id: str, body: bytes, now_ms: float) -> bool:
        """To every sink of the duty; False where too much waits already."""
        sinks = self.sinks[duty]
        if len(self.pending) + len(sinks) > PENDING_MOST:
            return False
        for sink in sinks:
            self.numbers += 1
            self.pending[self.numbers] = Pending(duty, sink, id, body, now_ms)
        self.waiting[duty, id] += len(sinks)
        return True

    def due(self, duty: str, token: int, now_ms: float, wall_ms: float) -> Iterator[Out]:
        """What is to be sent now under a token that holds now."""
        for number, act in self.pending.items():
            if act.duty == duty and now_ms >= act.due_ms:
                act.due_ms = now_ms + act.wait_ms
                act.wait_ms = min(act.wait_ms * 2.0, WAIT_MOST_MS)
                yield Send(act.sink, Act(duty, token, self.name, wall_ms, number, act.id, act.body))

    def bare(self, duty: str, token: int, wall_ms: float) -> Iterator[Out]:
        for sink in self.sinks[duty]:
            yield Send(sink, Act(duty, token, self.name, wall_ms))

    def next_due_ms(self, duty: str) -> float:
        return min((act.due_ms for act in self.pending.values() if act.duty == duty), default=float("inf"))

    def acked(self, told: Acked) -> Pending | None:
        """The act that a sink has now taken; None where there is none, or it was refused."""
        act = self.pending.get(told.number)
        if act is None or act.duty != told.duty or not told.accepted:
            return None
        return self._pop(told.number)

    def drop(self, duty: str, id: str | None = None) -> None:
        """The duty is another's, or one act of it has no need any more."""
        gone = [n for n, act in self.pending.items() if act.duty == duty and id in (None, act.id)]
        for number in gone:
            self._pop(number)

    def _pop(self, number: int) -> Pending:
        act = self.pending.pop(number)
        self.waiting[act.duty, act.id] -= 1
        if not self.waiting[act.duty, act.id]:
            del self.waiting[act.duty, act.id]
        return act

"""An elector's promises: to whom each duty is promised, under which term, until when by its clock. No I/O.

A term is granted to one candidate alone, and only above every term this elector granted before (so two
majorities for one term cannot be); the holder of the last one may be granted a higher one at any time, as a
holder raises its term past one that a candidate won here but not elsewhere. A promise to another waits
until the last one, plus the grant margin, has passed on this clock. After a start nothing new is promised
for a whole promise: one made before the start may still run. What outlives a start is the highest term of
each duty and its holder: a grant of a new term is what follows its `Save`, and until the driver has said
`saved` every further grant of that term waits for a save of its own.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from .configuration import LeaseTerms
from .messages import Ask, Grant, Refuse, Release, Sound, Standing
from .outputs import GRANTS, Event, Granted, Out, Save, Send, granted_of, pack


@dataclass(slots=True)
class Promise:
    term: int = 0  # the highest granted; 0: none ever
    holder: str = ""
    durable: int = 0  # the highest term that a save has made last
    until_ms: float = float("-inf")  # on this elector's clock
    to: str = ""  # named by the last release: it alone may ask until `to_until_ms`
    to_until_ms: float = float("-inf")


def restored_of(rows: Mapping[str, bytes]) -> dict[str, Granted]:
    """What saves made durable, by duty. A row of another form was never a grant of this elector's."""
    kept = {}
    for duty, row in rows.items():
        try:
            kept[duty] = granted_of(row)
        except msgspec.MsgspecError:
            continue
    return kept


class Elector:
    """Answers asks and releases; `restored` is what `Save` made durable before, by duty."""

    def __init__(self, name: str, terms: LeaseTerms, now_ms: float, restored: Mapping[str, Granted]) -> None:
        self.name, self.terms = name, terms
        self.quiet_until_ms = now_ms + terms.promise_ms
        self.promises = {duty: Promise(kept.term, kept.holder, kept.term) for duty, kept in restored.items()}

    def ask(self, asked: Ask, now_ms: float) -> list[Out]:
        promise = self.promises.setdefault(asked.duty, Promise())
        same = asked.term == promise.term and asked.candidate == promise.holder
        if same:
            # A renewal, or a holder whose promise lapsed (or was lost at a start) while no higher term was
            # granted here: the same grant again, which no other promise can be in the way of.
            promise.until_ms = now_ms + self.terms.promise_ms
            return self._grant(asked, promise)
        left_ms = self._left_ms(promise, asked.candidate, now_ms)
        if asked.term > promise.term and not left_ms:
            promise.term, promise.holder = asked.term, asked.candidate
            promise.until_ms = now_ms + self.terms.promise_ms
            event = Event("granted", asked.duty, asked.term, asked.candidate)
            return self._grant(asked, promise, event)
        refuse = Refuse(asked.duty, asked.number, self.name, promise.term, promise.holder, left_ms)
        return [Send(asked.candidate, refuse), Event("refused", asked.duty, asked.term, asked.candidate)]

    def sound(self, asked: Sound, now_ms: float) -> list[Out]:
        """What it would say to an ask; nothing is promised by it."""
        promise = self.promises.get(asked.duty, Promise())
        left_ms = self._left_ms(promise, asked.candidate, now_ms)
        told = Standing(asked.duty, asked.number, self.name, promise.term, promise.holder, left_ms)
        return [Send(asked.candidate, told)]

    def _left_ms(self, promise: Promise, candidate: str, now_ms: float) -> float:
        """How long until a higher term may be granted to this candidate."""
        # The one promise that may run is to its holder: a higher term for that holder wrongs nobody.
        if candidate == promise.holder:
            return 0.0
        reserved_ms = promise.to_until_ms if candidate != promise.to else float("-inf")
        return max(promise.until_ms - now_ms, self.quiet_until_ms - now_ms, reserved_ms - now_ms, 0.0)

    def _grant(self, asked: Ask, promise: Promise, *more: Out) -> list[Out]:
        grant = Send(asked.candidate, Grant(asked.duty, asked.term, asked.candidate, asked.number, self.name))
        if promise.durable >= promise.term:
            return [grant, *more]
        row = pack(Granted(promise.term, promise.holder))
        return [Save(GRANTS, asked.duty, row, (grant, *more))]

    def saved(self, duty: str, row: bytes) -> None:
        """A `Save` of this elector's now lasts."""
        promise = self.promises[duty]
        promise.durable = max(promise.durable, granted_of(row).term)

    def release(self, released: Release, now_ms: float) -> list[Out]:
        promise = self.promises.get(released.duty)
        if promise is None or (promise.term, promise.holder) != (released.term, released.holder):
            return []
        # The holder stopped before it said so: what it was promised is free at once.
        promise.until_ms = now_ms
        if released.to:
            promise.to, promise.to_until_ms = released.to, now_ms + self.terms.promise_ms
        return [Event("released", released.duty, released.term, released.holder)]

    def view(self, now_ms: float) -> dict[str, dict[str, object]]:
        """For `gladewalk leases`: duty -> term, holder, ms left of the promise (0 if lapsed)."""
        return {duty: {"term": p.term, "holder": p.holder, "left_ms": max(p.until_ms - now_ms, 0.0)}
                for duty, p in sorted(self.promises.items())}  # fmt: skip

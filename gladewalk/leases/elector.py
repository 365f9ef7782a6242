"""An elector's promises: to whom each duty is promised, under which term, until when by its clock. No I/O.

A term is granted to one candidate alone, and only above every term this elector granted before (so two
majorities for one term cannot be); the holder of the last one may be granted a higher one at any time, as a
holder raises its term past one that a candidate won here but not elsewhere. A promise to another waits
until the last one, plus the grant margin, has passed on this clock. After a start nothing new is promised
for a whole promise: one made before the start may still run. What outlives a start is the highest term of
each duty and its holder (`Save`, then the grant).
"""

from __future__ import annotations

from dataclasses import dataclass

from .messages import Ask, Grant, Refuse, Release
from .outs import Event, Out, Save, Send
from .terms import LeaseTerms


@dataclass(slots=True)
class Promise:
    term: int = 0  # the highest granted; 0: none ever
    holder: str = ""
    until_ms: float = float("-inf")  # on this elector's clock
    to: str = ""  # named by the last release: it alone may ask until `to_until_ms`
    to_until_ms: float = float("-inf")


class Elector:
    """Answers asks and releases; `restored` is what `Save` made durable before: duty -> (term, holder)."""

    def __init__(
        self, name: str, terms: LeaseTerms, now_ms: float, restored: dict[str, tuple[int, str]]
    ) -> None:
        self.name, self.terms = name, terms
        self.quiet_until_ms = now_ms + terms.promise_ms
        self.promises = {duty: Promise(term, holder) for duty, (term, holder) in restored.items()}

    def ask(self, asked: Ask, now_ms: float) -> list[Out]:
        promise = self.promises.setdefault(asked.duty, Promise())
        same = asked.term == promise.term and asked.candidate == promise.holder
        if same:
            # A renewal, or a holder whose promise lapsed (or was lost at a start) while no higher term was
            # granted here: the same grant again, which no other promise can be in the way of.
            promise.until_ms = now_ms + self.terms.promise_ms
            return [
                Send(asked.candidate, Grant(asked.duty, asked.term, asked.candidate, asked.number, self.name))
            ]
        free = promise.until_ms <= now_ms and now_ms >= self.quiet_until_ms
        named = promise.to_until_ms <= now_ms or asked.candidate == promise.to
        # Its one promise that may run is to its holder: a higher term for that holder wrongs nobody.
        if asked.term > promise.term and ((free and named) or asked.candidate == promise.holder):
            promise.term, promise.holder = asked.term, asked.candidate
            promise.until_ms = now_ms + self.terms.promise_ms
            grant = Grant(asked.duty, asked.term, asked.candidate, asked.number, self.name)
            return [Save(asked.duty, asked.term, asked.candidate), Send(asked.candidate, grant),
                    Event("granted", asked.duty, asked.term, asked.candidate)]  # fmt: skip
        left = max(promise.until_ms, self.quiet_until_ms, promise.to_until_ms) - now_ms
        refuse = Refuse(asked.duty, asked.number, self.name, promise.term, promise.holder, max(left, 0.0))
        return [Send(asked.candidate, refuse), Event("refused", asked.duty, asked.term, asked.candidate)]

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

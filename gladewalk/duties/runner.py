"""Duties carried out: whose turn it is comes from `Ownership`, who is there from `Members`.

A kind of duty is one class with the three methods of `Duty`. It needs no more than that to be divided among
the directors, taken over and told of.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Protocol

from .. import interface as api
from ..counters import Counters
from ..deadlines import Deadlines
from ..members.messages import News
from ..members.swim import Change
from ..members.transport import Members
from .ownership import Claim, Ownership

SWEEP_MS = 50.0  # how late a duty may be noticed to be due
Found = Callable[[api.Status, float, dict[str, float] | None], None]


class Duty(Protocol):
    """A kind of duty: what there is to be done, how, and what is learned from it."""

    kind: str
    interval_ms: float

    def names(self) -> Iterable[str]:
        """What it is to be done for, as all directors name it."""

    def do(self, name: str, found: Found) -> None:
        """Do it once, and say what was found and how long it took."""

    def learn(
        self, name: str, status: api.Status, took_ms: float, load: dict[str, float] | None, age_ms: float
    ) -> None:
        """What somebody found, told once for each finding; ours among them. `age_ms`: since it was begun."""


class Runner:
    """All duties of one director."""

    def __init__(
        self, members: Members, duties: Iterable[Duty], clock: Callable[[], float], deadlines: Deadlines,
        counters: Counters, rng: random.Random, fresh_ms: float,
    ) -> None:  # fmt: skip
        self.members, self.clock = members, clock
        self.deadlines, self.counters, self.fresh_ms = deadlines, counters, fresh_ms
        me = members.core.me.name
        self.duties = {duty.kind: duty for duty in duties}
        self.owned = {kind: Ownership(me, duty.interval_ms, rng) for kind, duty in self.duties.items()}
        members.changed, members.heard = self.changed, self.heard
        self.known: dict[str, frozenset[str]] = dict.fromkeys(self.duties, frozenset())

    def sweep(self) -> None:
        """Twenty times a second: what there is to do now."""
        now = self.clock()
        for kind, duty in self.duties.items():
            owned, names = self.owned[kind], frozenset(duty.names())
            if names != self.known[kind]:
                for gone in self.known[kind] - names:
                    self.members.core.forget_news(f"{kind}/{gone}")
                self.known[kind] = names
                owned.set_duties(names, now)
            if not self.members.core.active:  # our name is another's: nothing is ours
                continue
            self._tell_claims(kind)
            for name, claim in owned.due(now):
                self._do(duty, name, claim)
        self.deadlines.add(now + SWEEP_MS, self.sweep)

    def changed(self, change: Change, name: str) -> None:
        """Who is there has changed; a suspect still counts, so that no duty moves for a short silence."""
        live, now = self.members.live(), self.clock()
        if not live:  # our name is another's: nothing is ours any more
            for owned in self.owned.values():
                owned.held.clear()
            return
        for kind, owned in self.owned.items():
            owned.set_members(live, now)
            self._tell_claims(kind)

    def heard(self, news: News) -> None:
        kind, _, name = news.duty.partition("/")
        duty, now = self.duties.get(kind), self.clock()
        if duty is None or name not in self.known[kind]:
            return
        claim = Claim(news.epoch, news.owner)
        if not self.owned[kind].hear(name, claim, news.done_ms or None, now):
            return self.counters.add("duties.older_epoch")
        self._tell_claims(kind)
        if not news.status:
            return
        # A finding that is old, or of a clock that is off, tells nothing of now.
        if abs(now - news.done_ms) > self.fresh_ms:
            return self.counters.add("duties.too_old")
        try:
            status = api.Status(news.status)
        except ValueError:
            return self.counters.add("duties.unknown_status")
        self.counters.add("duties.heard")
        duty.learn(name, status, news.took_ms, news.load, max(0.0, now - news.done_ms))

    def owned_names(self) -> list[str]:
        return sorted(f"{kind}/{name}" for kind, owned in self.owned.items() for name in owned.held)

    def _do(self, duty: Duty, name: str, claim: Claim) -> None:
        started = self.clock()
        self.counters.add("duties.done")

        def found(status: api.Status, took_ms: float, load: dict[str, float] | None) -> None:
            duty.learn(name, status, took_ms, load, max(0.0, self.clock() - started))
            self.members.tell(
                News(f"{duty.kind}/{name}", claim.owner, claim.epoch, started, status.value, took_ms, load)
            )

        duty.do(name, found)

    def _tell_claims(self, kind: str) -> None:
        owned = self.owned[kind]
        for name, claim in owned.take_claims():
            self.counters.add("duties.claims")
            self.members.tell(News(f"{kind}/{name}", claim.owner, claim.epoch, 0.0))

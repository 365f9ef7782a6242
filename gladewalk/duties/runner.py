"""Duties carried out: whose turn it is comes from `Ownership`, who is there from `Members`.

A kind of duty is one class with the three methods of `Duty`. It needs no more than that to be divided among
the directors, taken over and told of.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Protocol

from .. import interface as api
from ..core.counters import Counters
from ..members.actions import MemberChange
from ..members.messages import UserEvent
from ..members.swim import Membership
from .ownership import Claim, Ownership
from .pacing import Pacing

SWEEP_MS = 50.0  # how late a duty may be noticed to be due
JOIN_MS = 1_000.0  # a start waits so long to meet the others: alone it would claim all that they do
Found = Callable[[api.Status, float, dict[str, float] | None], None]


class Fellows(Protocol):
    """The members as `Runner` needs them; `members.transport.MembershipTransport` on sockets."""

    core: Membership
    on_member_change: Callable[[MemberChange, str], None]
    on_event: Callable[[UserEvent], None]

    def publish_event(self, event: UserEvent) -> None: ...


class Agenda(Protocol):
    """Where the next sweep is put down; `Deadlines`, or a rehearsal's virtual time."""

    def add(self, when_ms: float, call: Callable[[], None]) -> object: ...


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
        self, members: Fellows, duties: Iterable[Duty], clock: Callable[[], float], deadlines: Agenda,
        counters: Counters, rng: random.Random, fresh_ms: float, per_s: float = 0.0,
    ) -> None:  # fmt: skip
        self.members, self.clock = members, clock
        self.deadlines, self.counters, self.fresh_ms = deadlines, counters, fresh_ms
        self.pacing, self.stretch = Pacing(per_s, clock()), 1.0
        me = members.core.local.name
        self.duties = {duty.kind: duty for duty in duties}
        self.owned = {kind: Ownership(me, duty.interval_ms, rng) for kind, duty in self.duties.items()}
        members.on_member_change, members.on_event = self.changed, self.heard
        self.moved = True  # who is there has changed since the last sweep: a fleet that joins is one change
        self.alone_until = clock() + (JOIN_MS if members.core.seeds else 0.0)
        self.known: dict[str, frozenset[str]] = dict.fromkeys(self.duties, frozenset())

    def sweep(self) -> None:
        """Twenty times a second: what there is to do now."""
        now = self.clock()
        if now < self.alone_until and len(self.members.core.live_weights()) == 1:
            return self._again(now)
        if self.moved and self.members.core.is_active:
            self.moved, fit = False, self.members.core.responsive_weights()
            for owned in self.owned.values():
                owned.set_members(fit, now)
        for kind, duty in self.duties.items():
            self._list(kind, frozenset(duty.names()), now)
        wanted = sum(len(self.known[k]) * 1_000.0 / duty.interval_ms for k, duty in self.duties.items())
        self.stretch = self.pacing.stretch(wanted)
        for kind, duty in self.duties.items():
            owned = self.owned[kind]
            owned.interval_ms = duty.interval_ms * self.stretch
            if not self.members.core.is_active:  # our name is another's: nothing is ours
                continue
            self._tell_claims(kind)
            due = owned.due(now, self.pacing.allowance(now))
            self.pacing.spend(len(due))
            for name, claim in due:
                self._do(duty, name, claim)
        self._again(now)

    def _again(self, now: float) -> None:
        self.deadlines.add(now + SWEEP_MS, self.sweep)

    def _list(self, kind: str, names: frozenset[str], now: float) -> None:
        """The servers that there is a duty for, as the coordinator lists them now."""
        if names is self.known[kind] or names == self.known[kind]:
            return
        for gone in self.known[kind] - names:
            self.members.core.forget_event(f"{kind}/{gone}")
        self.known[kind] = names
        self.owned[kind].set_duties(names, now)

    def changed(self, change: MemberChange, name: str) -> None:
        """Who is there has changed; a suspect still counts, so that no duty moves for a short silence. One
        that has stalled does not, though it keeps its place: its duties are done by others meanwhile."""
        if not self.members.core.is_active:  # our name is another's: nothing is ours any more
            for owned in self.owned.values():
                owned.held.clear()
            return
        self.moved = True

    def heard(self, news: UserEvent) -> None:
        kind, _, name = news.task.partition("/")
        duty, now = self.duties.get(kind), self.clock()
        if duty is None or name not in self.known[kind]:
            return
        claim = Claim(news.epoch, news.owner)
        if not self.owned[kind].hear(name, claim, news.executed_at_ms or None, now):
            return self.counters.add("duties.older_epoch")
        self._tell_claims(kind)
        if not news.status:
            return
        # A finding that is old, or of a clock that is off, tells nothing of now.
        if abs(now - news.executed_at_ms) > self.fresh_ms:
            return self.counters.add("duties.too_old")
        try:
            status = api.Status(news.status)
        except ValueError:
            return self.counters.add("duties.unknown_status")
        self.counters.add("duties.heard")
        duty.learn(name, status, news.duration_ms, news.load, max(0.0, now - news.executed_at_ms))

    def owned_names(self) -> list[str]:
        return sorted(f"{kind}/{name}" for kind, owned in self.owned.items() for name in owned.held)

    def _do(self, duty: Duty, name: str, claim: Claim) -> None:
        started = self.clock()
        self.counters.add("duties.done")

        def found(status: api.Status, took_ms: float, load: dict[str, float] | None) -> None:
            duty.learn(name, status, took_ms, load, max(0.0, self.clock() - started))
            self.members.publish_event(
                UserEvent(
                    f"{duty.kind}/{name}", claim.owner, claim.epoch, started, status.value, took_ms, load
                )
            )

        duty.do(name, found)

    def _tell_claims(self, kind: str) -> None:
        owned = self.owned[kind]
        for name, claim in owned.take_claims():
            self.counters.add("duties.claims")
            self.members.publish_event(UserEvent(f"{kind}/{name}", claim.owner, claim.epoch, 0.0))

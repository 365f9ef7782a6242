"""A director's side as candidate and holder of exclusive duties. No I/O: time and randomness come in.

A candidate asks every elector for the next term; with a majority of grants it holds the duty from when it
asked, for `hold_ms` on its own clock, and renews before that runs out. Whatever it does under the duty it
does with `token()` read just before, which is None once the lease is over: a holder that was paused, cut off
or outvoted stops by its own clock, and what it sent before is fenced where it lands (`fence.py`).
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .messages import Ask, Grant, Refuse, Release
from .outs import Event, Out, Send
from .terms import LeaseTerms, majority


@dataclass(slots=True)
class Round:
    number: int
    term: int
    sent_ms: float
    granted: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Duty:
    term: int = 0  # held, or 0
    until_ms: float = float("-inf")  # of what is held, on this clock
    renewed_ms: float = float("-inf")  # when the last renewal was asked
    highest: int = 0  # the highest term heard of
    next_ask_ms: float = 0.0
    round: Round | None = None
    since_ms: float = 0.0  # held or not, since when


class Candidate:
    """One director's duties; `electors` are names of directors (this one among them, as a rule)."""

    def __init__(
        self, name: str, electors: tuple[str, ...], duties: tuple[str, ...], terms: LeaseTerms,
        rng: random.Random, now_ms: float,
    ) -> None:  # fmt: skip
        self.name, self.electors, self.terms, self.random = name, electors, terms, rng
        self.need = majority(len(electors))
        self.numbers = 0
        self.duties = {duty: Duty(next_ask_ms=now_ms + rng.random() * terms.retry_ms, since_ms=now_ms)
                       for duty in duties}  # fmt: skip

    def token(self, duty: str, now_ms: float) -> int | None:
        """The fencing token to act under now, or None: not held, or no longer."""
        held = self.duties[duty]
        return held.term if held.term and now_ms < held.until_ms else None

    def tick(self, now_ms: float) -> list[Out]:
        out: list[Out] = []
        for name, duty in self.duties.items():
            if duty.term and now_ms >= duty.until_ms:
                out.append(Event("expired", name, duty.term, self.name))
                duty.term, duty.since_ms = 0, now_ms
            if duty.round is not None and now_ms >= duty.round.sent_ms + self.terms.round_ms:
                out += self._give_up(name, duty, now_ms)
            if duty.round is not None:
                continue
            if duty.term and now_ms >= duty.renewed_ms + self.terms.renew_every_ms:
                # Past a higher term that some electors granted to a candidate which did not win: else
                # they refuse this holder's renewals for good, and a majority hangs on the rest.
                raised = duty.term if duty.highest <= duty.term else duty.highest + 1
                out += self._ask(name, duty, raised, now_ms)
                duty.renewed_ms = now_ms
            elif not duty.term and now_ms >= duty.next_ask_ms:
                out += self._ask(name, duty, duty.highest + 1, now_ms)
        return out

    def next_due_ms(self) -> float:
        """When `tick` has something to do at the latest."""
        due = float("inf")
        for duty in self.duties.values():
            if duty.round is not None:
                due = min(due, duty.round.sent_ms + self.terms.round_ms)
            elif duty.term:
                due = min(due, duty.renewed_ms + self.terms.renew_every_ms, duty.until_ms)
            else:
                due = min(due, duty.next_ask_ms)
        return due

    def _ask(self, name: str, duty: Duty, term: int, now_ms: float) -> list[Out]:
        self.numbers += 1
        duty.round = Round(self.numbers, term, now_ms)
        asked = Ask(name, term, self.name, self.numbers)
        return [Send(elector, asked) for elector in self.electors]

    def _give_up(self, name: str, duty: Duty, now_ms: float, wait_ms: float = 0.0) -> list[Out]:
        """A round without a majority: its grants are handed back, else their electors stay bound to a
        candidate that never holds, and a split of votes lasts a whole promise."""
        asked, duty.round = duty.round, None
        # Told when the promise frees, candidates come close after it, each at its own moment; but no later
        # than a quarter lease, since a holder that renews no more frees it within a promise. One that heard
        # nothing at all may be cut off from all: it stands back two promises, else its asks, which electors
        # take, would hold the duty for nobody.
        deaf = asked is not None and not (asked.granted | asked.refused) - {self.name}
        wait_ms = 2.0 * self.terms.promise_ms if deaf else min(wait_ms, self.terms.lease_ms / 4.0)
        spread = self.terms.retry_ms / (4.0 if wait_ms else 1.0)
        duty.next_ask_ms = now_ms + wait_ms + self.random.random() * spread
        if asked is None or duty.term:  # a holder's promises stand for the lease it goes on with
            return []
        # A grant may have been given and lost: whoever did not refuse is told. A release may arrive after a
        # later round's grant: that round must be of another term.
        duty.highest = max(duty.highest, asked.term)
        back = Release(name, asked.term, self.name)
        return [Send(elector, back) for elector in self.electors if elector not in asked.refused]

    def grant(self, granted: Grant, now_ms: float) -> list[Out]:
        duty = self.duties.get(granted.duty)
        if duty is None or duty.round is None or duty.round.number != granted.number:
            return []
        duty.round.granted.add(granted.elector)
        if len(duty.round.granted) < self.need:
            return []
        asked, duty.round = duty.round, None
        until = asked.sent_ms + self.terms.hold_ms  # from when it asked: every promise began later
        duty.highest = max(duty.highest, asked.term)
        if duty.term == asked.term:
            duty.until_ms = max(duty.until_ms, until)
            return []
        kind = "raised" if duty.term else "won"
        if not duty.term:
            duty.renewed_ms, duty.since_ms = asked.sent_ms, now_ms
        duty.term, duty.until_ms = asked.term, until
        return [Event(kind, granted.duty, asked.term, self.name)]

    def refuse(self, refused: Refuse, now_ms: float) -> list[Out]:
        duty = self.duties.get(refused.duty)
        if duty is None:
            return []
        # One elector that granted a higher term says nothing of a majority: a holder goes on until its
        # lease runs out, which a renewal that a majority refuses lets happen.
        duty.highest = max(duty.highest, refused.highest)
        if duty.round is None or duty.round.number != refused.number:
            return []
        duty.round.refused.add(refused.elector)
        if len(duty.round.refused) > len(self.electors) - self.need:  # no majority this round
            return self._give_up(refused.duty, duty, now_ms, 0.0 if duty.term else refused.left_ms)
        return []

    def released(self, released: Release, now_ms: float) -> list[Out]:
        duty = self.duties.get(released.duty)
        if duty is None or duty.term:
            return []
        duty.highest = max(duty.highest, released.term)
        if duty.round is None:
            later = 0.0 if released.to in ("", self.name) else self.terms.promise_ms
            first = released.to == self.name
            duty.next_ask_ms = now_ms + later + (0.0 if first else self.random.random() * self.terms.retry_ms)
        return []

    def step_down(self, name: str, now_ms: float, to: str = "") -> list[Out]:
        """Stop holding `name` (if held) and tell every director, so that another may take it at once."""
        duty = self.duties[name]
        if not duty.term:
            return []
        release = Release(name, duty.term, self.name, to)
        duty.term, duty.since_ms, duty.round = 0, now_ms, None
        duty.next_ask_ms = now_ms + self.terms.promise_ms  # let another take it first
        told: list[Out] = [Send(elector, release) for elector in self.electors]
        return [Event("released", name, release.term, self.name), *told]

    def view(self, now_ms: float) -> dict[str, dict[str, object]]:
        """For `gladewalk leases`: duty -> token held (0: none), ms left, highest term heard, ms in state."""
        return {name: {"token": self.token(name, now_ms) or 0, "left_ms": max(d.until_ms - now_ms, 0.0),
                       "highest": d.highest, "for_ms": now_ms - d.since_ms}
                for name, d in sorted(self.duties.items())}  # fmt: skip

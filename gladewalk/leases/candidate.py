"""A director's side as candidate and holder of exclusive duties. No I/O: time and randomness come in.

A candidate first sounds every elector out, which promises nothing; once a majority would grant the duty it
asks under the next term, and with a majority of grants it holds the duty from when it asked, for `hold_ms` on
its own clock. Sounding keeps candidates from breaking in on a holder: an ask that some few electors grant
(one that has just started, one that a message was lost to) binds them to a candidate that never holds, and
the holder has to raise its term past it again and again. Whatever a holder does under the duty it does with
`token()` read just before, which is None once the lease is over: a holder that was paused, cut off or
outvoted stops by its own clock, and what it sent before is fenced where it lands (`fence.py`).
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .configuration import LeaseTerms, majority
from .messages import Ask, Grant, Refuse, Release, Sound, Standing
from .outputs import Event, Out, Send

ROUND_PART = 0.6  # of a lease: the longest that a round waits where answers take long
NEAR_PART = 0.25  # of `retry_ms`: how far apart candidates come that know when the duty is free
SENT_KEPT = 16  # rounds whose answers still tell how long answers take


@dataclass(slots=True)
class Round:
    """Electors sounded out (term 0) or asked under a term."""

    number: int
    term: int
    sent_ms: float
    granted: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    left_ms: dict[str, float] = field(default_factory=dict)  # sounded: until each elector would grant


@dataclass(slots=True)
class Duty:
    term: int = 0  # held, or 0
    until_ms: float = float("-inf")  # of what is held, on this clock
    renewed_ms: float = float("-inf")  # when the last renewal was asked
    highest: int = 0  # the highest term heard of
    next_ask_ms: float = 0.0
    round: Round | None = None  # of a candidate
    renewals: dict[int, Round] = field(default_factory=dict)  # of a holder: answers count however late
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
        self.answer_ms = 0.0  # how long others' answers take: soon up, slowly down
        self.sent: dict[int, float] = {}  # the last rounds' numbers and when they were sent
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
                out += self._expire(name, duty, now_ms)
            if duty.round is not None and now_ms >= duty.round.sent_ms + self._round_ms():
                out += self._give_up(name, duty, now_ms)
            if duty.round is not None:
                continue
            if duty.term and now_ms >= duty.renewed_ms + self.terms.renew_every_ms:
                out += self._renew(name, duty, now_ms)
            elif not duty.term and now_ms >= duty.next_ask_ms:
                duty.round = self._round(0, now_ms)
                sound = Sound(name, self.name, duty.round.number)
                out += [Send(elector, sound) for elector in self.electors]
        return out

    def next_due_ms(self) -> float:
        """When `tick` has something to do at the latest."""
        due = float("inf")
        for duty in self.duties.values():
            if duty.round is not None:
                due = min(due, duty.round.sent_ms + self._round_ms())
            elif duty.term:
                due = min(due, duty.renewed_ms + self.terms.renew_every_ms, duty.until_ms)
            else:
                due = min(due, duty.next_ask_ms)
        return due

    def _round_ms(self) -> float:
        """How long a round waits for answers: longer where they were seen to take long."""
        return min(max(self.terms.round_ms, 1.5 * self.answer_ms), ROUND_PART * self.terms.lease_ms)

    def _round(self, term: int, now_ms: float) -> Round:
        self.numbers += 1
        self.sent[self.numbers] = now_ms
        self.sent.pop(self.numbers - SENT_KEPT, None)
        return Round(self.numbers, term, now_ms)

    def _ask(self, name: str, asked: Round) -> list[Out]:
        ask = Ask(name, asked.term, self.name, asked.number)
        return [Send(elector, ask) for elector in self.electors]

    def _renew(self, name: str, duty: Duty, now_ms: float) -> list[Out]:
        # Past a higher term that some electors granted to a candidate which did not win: else they refuse
        # this holder's renewals for good, and a majority hangs on the rest.
        raised = duty.term if duty.highest <= duty.term else duty.highest + 1
        asked = self._round(raised, now_ms)
        duty.renewals = {n: r for n, r in duty.renewals.items() if now_ms < r.sent_ms + self.terms.hold_ms}
        duty.renewals[asked.number] = asked
        duty.renewed_ms = now_ms
        return self._ask(name, asked)

    def _expire(self, name: str, duty: Duty, now_ms: float) -> list[Out]:
        """Its lease is over, and it has stopped: it says so, lest electors that hear it and that it does not
        hear keep the duty promised to it for nothing."""
        terms = sorted({duty.term, *(r.term for r in duty.renewals.values())})
        duty.highest = max(duty.highest, terms[-1])
        out: list[Out] = [Event("expired", name, duty.term, self.name)]
        out += [Send(e, Release(name, term, self.name)) for term in terms for e in self.electors]
        self._lose(duty, now_ms)
        duty.next_ask_ms = now_ms + self.random.random() * self.terms.retry_ms
        return out

    def _lose(self, duty: Duty, now_ms: float) -> None:
        duty.term, duty.since_ms, duty.round = 0, now_ms, None
        duty.renewals.clear()

    def _give_up(self, name: str, duty: Duty, now_ms: float, wait_ms: float = 0.0) -> list[Out]:
        """A round without a majority: what it was granted is handed back, else its electors stay bound to a
        candidate that never holds, and a split of votes lasts a whole promise."""
        asked, duty.round = duty.round, None
        # Told when the promises free, candidates come close after it, each at its own moment; but no later
        # than half a lease, since a holder may hand on before and the word of it be lost.
        spread = max(self.terms.retry_ms, self.answer_ms) * (NEAR_PART if wait_ms else 1.0)
        duty.next_ask_ms = now_ms + min(wait_ms, self.terms.lease_ms / 2.0) + self.random.random() * spread
        if asked is None or not asked.term:  # sounding out bound nobody
            return []
        # A grant may have been given and lost: whoever did not refuse is told. A release may arrive after a
        # later round's grant: that round must be of another term.
        duty.highest = max(duty.highest, asked.term)
        back = Release(name, asked.term, self.name)
        return [Send(elector, back) for elector in self.electors if elector not in asked.refused]

    def _answered(self, number: int, elector: str, now_ms: float) -> None:
        sent_ms = self.sent.get(number)
        if sent_ms is not None and elector != self.name:
            took_ms = now_ms - sent_ms
            self.answer_ms = max(took_ms, 0.9 * self.answer_ms + 0.1 * took_ms)

    def standing(self, told: Standing, now_ms: float) -> list[Out]:
        """An elector's answer to a sounding out."""
        self._answered(told.number, told.elector, now_ms)
        duty = self.duties.get(told.duty)
        if duty is None:
            return []
        duty.highest = max(duty.highest, told.highest)
        sounded = duty.round
        if sounded is None or sounded.term or sounded.number != told.number:
            return []
        sounded.left_ms[told.elector] = told.left_ms
        if sum(left <= 0.0 for left in sounded.left_ms.values()) >= self.need:
            duty.round = self._round(duty.highest + 1, now_ms)
            return self._ask(told.duty, duty.round)
        bound = sorted(left for left in sounded.left_ms.values() if left > 0.0)
        if len(bound) > len(self.electors) - self.need:  # no majority now: once the first of them are free
            wait_ms = bound[len(bound) - 1 - len(self.electors) + self.need]
            return self._give_up(told.duty, duty, now_ms, wait_ms)
        return []

    def grant(self, granted: Grant, now_ms: float) -> list[Out]:
        self._answered(granted.number, granted.elector, now_ms)
        duty = self.duties.get(granted.duty)
        if duty is None:
            return []
        asked = duty.renewals.get(granted.number)
        if asked is None and duty.round is not None and duty.round.number == granted.number:
            asked = duty.round
        if asked is None or asked.term != granted.term:
            return []
        asked.granted.add(granted.elector)
        if len(asked.granted) < self.need:
            return []
        until = asked.sent_ms + self.terms.hold_ms  # from when it asked: every promise began later
        duty.highest = max(duty.highest, asked.term)
        if duty.renewals.pop(granted.number, None) is None:
            duty.round = None
            duty.renewed_ms, duty.since_ms = asked.sent_ms, now_ms
        duty.until_ms = max(duty.until_ms, until) if duty.term else until
        kind = "raised" if duty.term else "won"
        if asked.term <= duty.term:
            return []
        duty.term = asked.term
        return [Event(kind, granted.duty, asked.term, self.name)]

    def refuse(self, refused: Refuse, now_ms: float) -> list[Out]:
        self._answered(refused.number, refused.elector, now_ms)
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
            return self._give_up(refused.duty, duty, now_ms, refused.left_ms)
        return []

    def released(self, released: Release, now_ms: float) -> list[Out]:
        duty = self.duties.get(released.duty)
        if duty is None or duty.term:
            return []
        duty.highest = max(duty.highest, released.term)
        if duty.round is None and released.holder != self.name:
            later = 0.0 if released.to in ("", self.name) else self.terms.promise_ms
            spread = 0.0 if released.to == self.name else NEAR_PART * self.terms.retry_ms
            duty.next_ask_ms = now_ms + later + self.random.random() * spread
        return []

    def fenced(self, name: str, term: int, highest: int, now_ms: float) -> list[Out]:
        """A sink refused an act under `term`, since it accepted `highest`: whoever holds that came later."""
        duty = self.duties.get(name)
        if duty is None:
            return []
        duty.highest = max(duty.highest, highest)
        if duty.term != term or highest <= term:
            return []
        self._lose(duty, now_ms)
        duty.next_ask_ms = now_ms + self.terms.promise_ms
        return [Event("fenced", name, term, self.name)]

    def step_down(self, name: str, now_ms: float, to: str = "") -> list[Out]:
        """Stop holding `name` (if held) and tell every director, so that another may take it at once."""
        duty = self.duties[name]
        if not duty.term:
            return []
        terms = sorted({duty.term, *(r.term for r in duty.renewals.values())})
        duty.highest = max(duty.highest, terms[-1])
        out: list[Out] = [Event("released", name, duty.term, self.name)]
        out += [Send(e, Release(name, term, self.name, to)) for term in terms for e in self.electors]
        self._lose(duty, now_ms)
        duty.next_ask_ms = now_ms + self.terms.promise_ms  # let another take it first
        return out

    def view(self, now_ms: float) -> dict[str, dict[str, object]]:
        """For `gladewalk leases`: duty -> token held (0: none), ms left, highest term heard, ms in state."""
        return {name: {"token": self.token(name, now_ms) or 0, "left_ms": max(d.until_ms - now_ms, 0.0),
                       "highest": d.highest, "for_ms": now_ms - d.since_ms}
                for name, d in sorted(self.duties.items())}  # fmt: skip

"""Ownership of duties: one owner for each, by weighted rendezvous hash over the living members.

Views of who lives differ for a while, so the hash alone would let two members believe that they own a duty,
or none. Three rules settle it:

- A claim carries an *epoch*, one more than the highest that the claimant has heard of for that duty. The
  later epoch wins, at the same one the higher name; who hears of a better claim yields at once. A finding
  carries the epoch it was made under, so that one of an older epoch is told apart.
- Who holds a duty that the hash gives to another keeps doing it until it hears the other's claim: no gap
  while a member joins or comes back. It gives up waiting only when the other has died.
- Who should own a duty by the hash claims it, at a point of time drawn within the interval where nobody is
  heard to hold it: a takeover is spread, not a burst.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

RANGE = 2.0**64


def score(duty: str, member: str, weight: float) -> float:
    """Weighted rendezvous hash (Thaler, Ravishankar 1998; weights by -w / ln u): the highest owns."""
    if weight <= 0.0:
        return -math.inf
    unit = (xxhash.xxh3_64_intdigest(f"{duty}\0{member}".encode()) + 0.5) / RANGE
    return weight / -math.log(min(unit, 1.0 - 2.0**-53))


Rank = tuple[float, str]  # a member's score for a duty, and its name: the greatest owns


def rank_of(duty: str, members: Mapping[str, float]) -> Rank:
    """The best of some members, given with their weights."""
    return max((score(duty, name, weight), name) for name, weight in members.items())


def owner_of(duty: str, members: Mapping[str, float]) -> str | None:
    """Who of the members, given with their weights, owns a duty; None if there is nobody."""
    return rank_of(duty, members)[1] if members else None


@dataclass(slots=True, frozen=True, order=True)
class Claim:
    """In the order in which one beats another."""

    epoch: int
    owner: str


@dataclass(slots=True)
class Held:
    """A duty of ours: when it is to be done next."""

    claim: Claim
    due_ms: float


class Ownership:
    """One member's view of all duties. Members are told as they change, claims as they are heard."""

    def __init__(self, me: str, interval_ms: float, rng: random.Random) -> None:
        self.me, self.interval_ms, self.random = me, interval_ms, rng
        self.members: dict[str, float] = {me: 1.0}
        self.duties: set[str] = set()
        self.rank = rank_of  # many members in one process may share what this costs
        self.ranks: dict[str, Rank] = {}  # of the duties' owners by the hash, once they were asked for
        self.best: dict[str, Claim] = {}  # the best claim heard of, ours among them
        self.done_ms: dict[str, float] = {}  # when each was last done, as far as heard
        self.held: dict[str, Held] = {}
        self.made: list[tuple[str, Claim]] = []  # claims of ours that have not been told yet

    # What is told.

    def set_duties(self, duties: Iterable[str], now_ms: float) -> None:
        """The duties that there are; what is no longer one is forgotten."""
        self.duties = set(duties)
        for known in (self.best, self.done_ms, self.held, self.ranks):
            for duty in [duty for duty in known if duty not in self.duties]:
                del known[duty]
        self.review(now_ms)

    def set_members(self, members: Mapping[str, float], now_ms: float) -> None:
        """The members that are taken to live, ourselves among them, with their weights."""
        before, self.members = self.members, {**members, self.me: members.get(self.me, 1.0)}
        gone = {name for name, weight in before.items() if self.members.get(name) != weight}
        came = {name: weight for name, weight in self.members.items() if before.get(name) != weight}
        self._rerank(gone, came)
        self.review(now_ms)

    def _rerank(self, gone: set[str], came: Mapping[str, float]) -> None:
        """A member's death concerns its own duties alone, and one that came is compared with the owners.

        Guards against a hash of every duty with every member at each change: with a thousand of both that is
        a second of a core.
        """
        for duty, rank in list(self.ranks.items()):
            if rank[1] in gone:
                del self.ranks[duty]
            elif came:
                self.ranks[duty] = max(rank, self.rank(duty, came))

    def _owner(self, duty: str) -> str:
        rank = self.ranks.get(duty)
        if rank is None:
            rank = self.ranks[duty] = self.rank(duty, self.members)
        return rank[1]

    def hear(self, duty: str, claim: Claim, done_ms: float | None, now_ms: float) -> bool:
        """A claim, perhaps with the time of a finding made under it. False: it is an older one.

        Whoever is beaten by it yields here and now.
        """
        if duty not in self.duties:
            return False
        known = self.best.get(duty)
        if known is not None and claim < known:
            return False
        self.best[duty] = claim
        held = self.held.get(duty)
        if held is not None and claim.owner != self.me:
            del self.held[duty]
        elif held is not None and held.claim < claim:
            # An earlier run of ours claimed it, and all take what we do for older than that: claim it anew.
            self._claim(duty, claim.epoch + 1, held.due_ms)
        if done_ms is not None:
            self.done_ms[duty] = max(done_ms, self.done_ms.get(duty, 0.0))
        self._review(duty, now_ms)
        return True

    # What follows.

    def review(self, now_ms: float) -> None:
        """Look at all duties anew, and claim what is ours."""
        for duty in sorted(self.duties):
            self._review(duty, now_ms)

    def take_claims(self) -> list[tuple[str, Claim]]:
        """The claims made since this was last called: all members are to hear of them."""
        made, self.made = self.made, []
        return made

    def _review(self, duty: str, now_ms: float) -> None:
        if duty in self.held or self._owner(duty) != self.me:
            return
        best = self.best.get(duty)
        self._claim(duty, best.epoch + 1 if best is not None else 1, self._first_due(duty, best, now_ms))

    def _claim(self, duty: str, epoch: int, due_ms: float) -> None:
        claim = self.best[duty] = Claim(epoch, self.me)
        self.held[duty] = Held(claim, due_ms)
        self.made.append((duty, claim))

    def _first_due(self, duty: str, before: Claim | None, now_ms: float) -> float:
        """When its rhythm wants it next; where none is known, or it is overdue, soon and spread."""
        if duty in self.done_ms:
            due = self.done_ms[duty] + self.interval_ms
            if due > now_ms:
                return due
        # Overdue by a death: within a quarter of the interval. Never done before: anywhere in it.
        part = 0.25 if before is not None else 1.0
        return now_ms + self.random.random() * part * self.interval_ms

    def due(self, now_ms: float, most: int = 1_000_000) -> list[tuple[str, Claim]]:
        """The duties to be done now, the longest overdue first, each with the claim to do it under."""
        found: list[tuple[str, Claim]] = []
        for duty, held in sorted(self.held.items(), key=lambda item: item[1].due_ms):
            if now_ms >= held.due_ms and len(found) < most:
                found.append((duty, held.claim))
                # By its own rhythm; after a stall once, not once for each time that was missed.
                held.due_ms += self.interval_ms
                if held.due_ms <= now_ms:
                    held.due_ms = now_ms + self.interval_ms
                self.done_ms[duty] = now_ms
        return found

    def next_due(self) -> float:
        return min((held.due_ms for held in self.held.values()), default=math.inf)

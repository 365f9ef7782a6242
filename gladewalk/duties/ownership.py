"""Ownership of shared tasks: one owner for each, by weighted rendezvous hashing over the live members.

Members' views of who is alive differ for a while, so the hash alone would let two members own a task, or
none. Three rules settle it:

- A claim carries an epoch, one more than the highest that the claimant has seen for that task. The later
  epoch wins, at the same one the higher name; an owner that sees a better claim yields at once. A finding
  carries the epoch of the claim that it was made under, so that stale ones are recognised.
- An owner keeps a task that the hash now gives to another until it sees the other's claim: there is no gap
  while a member joins or comes back.
- The member that should own a task by the hash claims it at once, and does it first at a time drawn within
  the interval, so that a takeover is spread and not a burst.

No I/O: the time and randomness are passed in.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

HASH_RANGE = 2.0**64
MAX_UNIT = 1.0 - 2.0**-53  # keeps the logarithm below 0
TAKEOVER_SPREAD = 0.25  # of the interval: in which an overdue task is done after a takeover
UNLIMITED = 1_000_000


def rendezvous_score(task: str, member: str, weight: float) -> float:
    """Returns a member's weighted score for a task; the highest score owns it.

    Rendezvous hashing (Thaler and Ravishankar, 1998), with weights as -weight / ln(hash).
    """
    if weight <= 0.0:
        return -math.inf
    unit = (xxhash.xxh3_64_intdigest(f"{task}\0{member}".encode()) + 0.5) / HASH_RANGE
    return weight / -math.log(min(unit, MAX_UNIT))


class Rank(NamedTuple):
    """A member's place in the hash of one task; the greatest owns it."""

    score: float
    member: str


def best_rank(task: str, members: Mapping[str, float]) -> Rank:
    """Returns the highest rank among members, given with their weights; there must be one."""
    return max(Rank(rendezvous_score(task, name, weight), name) for name, weight in members.items())


def owner_of(task: str, members: Mapping[str, float]) -> str | None:
    """Returns the owner among members, given with their weights, or None if there are none."""
    return best_rank(task, members).member if members else None


@dataclass(slots=True, frozen=True, order=True)
class OwnershipClaim:
    """A claim to a task; the greater of two wins."""

    epoch: int
    owner: str


@dataclass(slots=True)
class OwnedTask:
    """A task that this member owns, and when it is to be done next."""

    claim: OwnershipClaim
    due_ms: float


class Ownership:
    """One member's view of all tasks of one type, fed with membership changes and others' claims."""

    def __init__(self, member: str, interval_ms: float, rng: random.Random) -> None:
        self.member, self.interval_ms, self.random = member, interval_ms, rng
        self.members: dict[str, float] = {member: 1.0}  # live ones with their weights
        self.tasks: set[str] = set()
        # Replaceable: many members in one process may share the cost of the hash.
        self.best_rank: Callable[[str, Mapping[str, float]], Rank] = best_rank
        self.owner_ranks: dict[str, Rank] = {}  # of owners by the hash, where they were asked for
        self.best_claims: dict[str, OwnershipClaim] = {}  # highest seen, this member's among them
        self.last_done_ms: dict[str, float] = {}  # as far as this member knows
        self.owned: dict[str, OwnedTask] = {}
        self._new_claims: list[tuple[str, OwnershipClaim]] = []

    # Changes.

    def set_tasks(self, tasks: Iterable[str], now_ms: float) -> None:
        """Replaces the tasks; those that are gone are forgotten."""
        self.tasks = set(tasks)
        for by_task in (self.best_claims, self.last_done_ms, self.owned, self.owner_ranks):
            for task in [task for task in by_task if task not in self.tasks]:
                del by_task[task]
        self.review(now_ms)

    def set_members(self, members: Mapping[str, float], now_ms: float) -> None:
        """Replaces the live members, given with their weights; this member is always one of them."""
        before, self.members = self.members, {**members, self.member: members.get(self.member, 1.0)}
        removed = {name for name, weight in before.items() if self.members.get(name) != weight}
        added = {name: weight for name, weight in self.members.items() if before.get(name) != weight}
        self._update_ranks(removed, added)
        self.review(now_ms)

    def handle_claim(self, task: str, claim: OwnershipClaim, done_ms: float | None, now_ms: float) -> bool:
        """Takes note of a claim, perhaps with the time of a finding made under it; yields if it is better.

        Returns False for an unknown task and for a claim older than the best one.
        """
        if task not in self.tasks:
            return False
        best = self.best_claims.get(task)
        if best is not None and claim < best:
            return False
        self.best_claims[task] = claim
        owned = self.owned.get(task)
        if owned is not None and claim.owner != self.member:
            del self.owned[task]
        elif owned is not None and owned.claim < claim:
            # An earlier incarnation of this member claimed it, and all take what this one does for older than
            # that: it is claimed anew.
            self._claim(task, claim.epoch + 1, owned.due_ms)
        if done_ms is not None:
            self.last_done_ms[task] = max(done_ms, self.last_done_ms.get(task, 0.0))
        self._review_task(task, now_ms)
        return True

    # Decisions.

    def review(self, now_ms: float) -> None:
        """Claims every task that the hash gives to this member and that it does not own."""
        for task in sorted(self.tasks):
            self._review_task(task, now_ms)

    def take_new_claims(self) -> list[tuple[str, OwnershipClaim]]:
        """Returns the claims made since the last call, of which all members have to be notified."""
        claims, self._new_claims = self._new_claims, []
        return claims

    def take_due(self, now_ms: float, limit: int = UNLIMITED) -> list[tuple[str, OwnershipClaim]]:
        """Returns the tasks to be done now, the longest overdue first, and schedules their next time."""
        due: list[tuple[str, OwnershipClaim]] = []
        for task, owned in sorted(self.owned.items(), key=lambda item: item[1].due_ms):
            if now_ms < owned.due_ms or len(due) >= limit:
                break
            due.append((task, owned.claim))
            # By its own rhythm; after a stall once, not once for each time that was missed.
            owned.due_ms += self.interval_ms
            if owned.due_ms <= now_ms:
                owned.due_ms = now_ms + self.interval_ms
            self.last_done_ms[task] = now_ms
        return due

    def next_due_ms(self) -> float:
        """Returns when the next owned task is to be done, or infinity."""
        return min((owned.due_ms for owned in self.owned.values()), default=math.inf)

    def _update_ranks(self, removed: set[str], added: Mapping[str, float]) -> None:
        """Updates the cached ranks: a removal concerns its own tasks, an addition is compared with owners.

        Hashing every task with every member at each change would take a second of a core with a thousand of
        both.
        """
        for task, rank in list(self.owner_ranks.items()):
            if rank.member in removed:
                del self.owner_ranks[task]
            elif added:
                self.owner_ranks[task] = max(rank, self.best_rank(task, added))

    def _owner(self, task: str) -> str:
        rank = self.owner_ranks.get(task)
        if rank is None:
            rank = self.owner_ranks[task] = self.best_rank(task, self.members)
        return rank.member

    def _review_task(self, task: str, now_ms: float) -> None:
        if task in self.owned or self._owner(task) != self.member:
            return
        best = self.best_claims.get(task)
        self._claim(task, best.epoch + 1 if best is not None else 1, self._first_due_ms(task, best, now_ms))

    def _claim(self, task: str, epoch: int, due_ms: float) -> None:
        claim = self.best_claims[task] = OwnershipClaim(epoch, self.member)
        self.owned[task] = OwnedTask(claim, due_ms)
        self._new_claims.append((task, claim))

    def _first_due_ms(self, task: str, earlier: OwnershipClaim | None, now_ms: float) -> float:
        """Returns when a new owner does a task first: by its rhythm, or spread if that is unknown or past."""
        if task in self.last_done_ms:
            due_ms = self.last_done_ms[task] + self.interval_ms
            if due_ms > now_ms:
                return due_ms
        # Overdue by an owner's death: soon. Never done before: anywhere in the interval.
        spread = TAKEOVER_SPREAD if earlier is not None else 1.0
        return now_ms + self.random.random() * spread * self.interval_ms

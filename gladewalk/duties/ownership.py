"""Ownership of shared tasks: one owner for each, by weighted rendezvous hashing over the live members.

After a change, members' views of who is live differ for a while, so with the hash alone a task could have two
owners, or none. Three rules resolve this:

- A claim carries an epoch, one more than the highest that the claimant has seen for that task. Of two claims,
  the one with the later epoch wins, at the same epoch the one with the higher owner name; an owner that
  receives a better claim yields at once. A task's result carries the epoch of the claim under which the task
  was performed, so that results of former owners are recognised.
- An owner keeps a task that the hash now assigns to another member until it receives that member's claim, so
  that the task has an owner at any time while a member joins or rejoins.
- The member to which the hash assigns a task claims it at once, and first performs it at a time drawn at
  random within the interval, so that a takeover does not cause a burst.

No I/O: the time and the source of randomness are passed in.
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
TAKEOVER_SPREAD = 0.25  # part of the interval within which an overdue task is performed after a takeover
UNLIMITED = 1_000_000


def rendezvous_score(task: str, member: str, weight: float) -> float:
    """Returns a member's weighted score for a task; the member with the highest score owns it.

    Rendezvous hashing (Thaler and Ravishankar, 1998), with the weighted score -weight / ln(hash).
    """
    if weight <= 0.0:
        return -math.inf
    unit = (xxhash.xxh3_64_intdigest(f"{task}\0{member}".encode()) + 0.5) / HASH_RANGE
    return weight / -math.log(min(unit, MAX_UNIT))


class Rank(NamedTuple):
    """A member's score for one task; the member with the greatest rank owns the task."""

    score: float
    member: str


def best_rank(task: str, members: Mapping[str, float]) -> Rank:
    """Returns the highest rank among members, given with their weights; there must be at least one member."""
    return max(Rank(rendezvous_score(task, name, weight), name) for name, weight in members.items())


def owner_of(task: str, members: Mapping[str, float]) -> str | None:
    """Returns the owner among members, given with their weights, or None if there are no members."""
    return best_rank(task, members).member if members else None


@dataclass(slots=True, frozen=True, order=True)
class OwnershipClaim:
    """A claim to own a task; of two claims, the greater one wins."""

    epoch: int
    owner: str


@dataclass(slots=True)
class OwnedTask:
    """A task that this member owns, and when it is to be performed next."""

    claim: OwnershipClaim
    due_ms: float


class Ownership:
    """One member's view of all tasks of one type, updated by membership changes and others' claims."""

    def __init__(self, member: str, interval_ms: float, rng: random.Random) -> None:
        self.member, self.interval_ms, self.random = member, interval_ms, rng
        self.members: dict[str, float] = {member: 1.0}  # weights of the live members by name
        self.tasks: set[str] = set()
        # May be replaced, so that many members in one process compute the hash only once.
        self.best_rank: Callable[[str, Mapping[str, float]], Rank] = best_rank
        self.owner_ranks: dict[str, Rank] = {}  # cached ranks of the owners by the hash
        self.best_claims: dict[str, OwnershipClaim] = {}  # highest known claims, including this member's own
        self.last_done_ms: dict[str, float] = {}  # when each task was last performed, as known to this member
        self.owned: dict[str, OwnedTask] = {}
        self._new_claims: list[tuple[str, OwnershipClaim]] = []

    # Changes.

    def set_tasks(self, tasks: Iterable[str], now_ms: float) -> None:
        """Replaces the tasks; all state of removed tasks is discarded."""
        self.tasks = set(tasks)
        for by_task in (self.best_claims, self.last_done_ms, self.owned, self.owner_ranks):
            for task in [task for task in by_task if task not in self.tasks]:
                del by_task[task]
        self.review(now_ms)

    def set_members(self, members: Mapping[str, float], now_ms: float) -> None:
        """Replaces the live members, given with their weights; this member is always added."""
        before, self.members = self.members, {**members, self.member: members.get(self.member, 1.0)}
        removed = {name for name, weight in before.items() if self.members.get(name) != weight}
        added = {name: weight for name, weight in self.members.items() if before.get(name) != weight}
        self._update_ranks(removed, added)
        self.review(now_ms)

    def handle_claim(self, task: str, claim: OwnershipClaim, done_ms: float | None, now_ms: float) -> bool:
        """Handles a received claim; yields the task if the claim is another member's and the better one.

        `done_ms` is when the task was performed under this claim, or None. Returns False for an unknown task
        and for a claim that is worse than the best known one.
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
            # An earlier run of this member made the claim, so the others consider the present run's claim
            # and results outdated: claim the task again, under a later epoch.
            self._claim(task, claim.epoch + 1, owned.due_ms)
        if done_ms is not None:
            self.last_done_ms[task] = max(done_ms, self.last_done_ms.get(task, 0.0))
        self._review_task(task, now_ms)
        return True

    # Decisions.

    def review(self, now_ms: float) -> None:
        """Claims every task that the hash assigns to this member and that it does not own yet."""
        for task in sorted(self.tasks):
            self._review_task(task, now_ms)

    def take_new_claims(self) -> list[tuple[str, OwnershipClaim]]:
        """Returns the claims made since the last call; the caller has to send them to all members."""
        claims, self._new_claims = self._new_claims, []
        return claims

    def take_due(self, now_ms: float, limit: int = UNLIMITED) -> list[tuple[str, OwnershipClaim]]:
        """Returns the tasks to perform now, the longest overdue first, and schedules their next time."""
        due: list[tuple[str, OwnershipClaim]] = []
        for task, owned in sorted(self.owned.items(), key=lambda item: item[1].due_ms):
            if now_ms < owned.due_ms or len(due) >= limit:
                break
            due.append((task, owned.claim))
            # Keep the task's phase; after a stall, perform it once and not once for each missed interval.
            owned.due_ms += self.interval_ms
            if owned.due_ms <= now_ms:
                owned.due_ms = now_ms + self.interval_ms
            self.last_done_ms[task] = now_ms
        return due

    def next_due_ms(self) -> float:
        """Returns when the next owned task is due, or infinity if none is owned."""
        return min((owned.due_ms for owned in self.owned.values()), default=math.inf)

    def _update_ranks(self, removed: set[str], added: Mapping[str, float]) -> None:
        """Updates the cached ranks of the owners.

        A removed member's ranks are discarded; an added member is compared with each cached owner. With a
        thousand tasks and a thousand members, hashing all pairs at each change would take a second of CPU
        time.
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
        """Returns when a new owner performs a task first.

        This is one interval after the task was last performed, or a random time if that is unknown or past.
        """
        if task in self.last_done_ms:
            due_ms = self.last_done_ms[task] + self.interval_ms
            if due_ms > now_ms:
                return due_ms
        # With an earlier claim, the task is overdue after its owner's death: perform it soon. Otherwise it is
        # new: spread new tasks over the whole interval.
        spread = TAKEOVER_SPREAD if earlier is not None else 1.0
        return now_ms + self.random.random() * spread * self.interval_ms

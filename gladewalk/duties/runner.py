"""Runs the periodic tasks that this director owns and shares findings with the other members.

Ownership comes from `Ownership`, liveness from `Membership`. A type of task is one class with the interface
of `TaskType`; that is all it needs to be divided among directors, taken over and shared.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from .. import interface as api
from ..core.counters import Counters
from ..members.actions import MemberChange
from ..members.messages import UserEvent
from ..members.swim import Membership
from .ownership import Ownership, OwnershipClaim
from .rate_limit import HealthCheckRateLimit

SWEEP_INTERVAL_MS = 50.0  # how late a task may be noticed to be due
JOIN_TIMEOUT_MS = 1_000.0  # a start waits so long to meet others: alone it would claim all that they own
ResultCallback = Callable[[api.Status, float, dict[str, float] | None], None]  # status, latency ms, load


class Peers(Protocol):
    """The other members as `TaskRunner` needs them; `members.transport.MembershipTransport` on sockets."""

    core: Membership
    on_member_change: Callable[[MemberChange, str], None]
    on_event: Callable[[UserEvent], None]

    def publish_event(self, event: UserEvent) -> None:
        """Spreads a claim or a finding to all members."""


class Scheduler(Protocol):
    """Calls a function later; `Deadlines`, or a simulation's virtual time."""

    def add(self, when_ms: float, call: Callable[[], None]) -> object:
        """Calls `call` at a Unix time in ms."""


class TaskType(Protocol):
    """A type of task: which targets there are, how it is done, and what is learned from it."""

    kind: str  # part of the messages between members
    interval_ms: float

    def targets(self) -> Iterable[str]:
        """Returns the names of what it is to be done for, the same at every director."""

    def perform(self, target: str, on_result: ResultCallback) -> None:
        """Does it once and reports the result."""

    def record_result(self, result: api.HealthCheckResult) -> None:
        """Uses a finding of any member, called once for each; its age counts from when it was begun."""


@dataclass(slots=True)
class SharedTaskType:
    """One type of task with this director's view of who owns which target."""

    task_type: TaskType
    ownership: Ownership
    targets: frozenset[str] = frozenset()

    @property
    def wanted_per_second(self) -> float:
        """How often all members together should do it."""
        return len(self.targets) * 1_000.0 / self.task_type.interval_ms


class TaskRunner:
    """All shared tasks of one director.

    `max_finding_age_ms`: older findings of others are ignored. `checks_per_second`: limit of all members
    together, 0 for none.
    """

    def __init__(
        self,
        peers: Peers,
        tasks: Iterable[TaskType],
        clock: Callable[[], float],
        scheduler: Scheduler,
        counters: Counters,
        rng: random.Random,
        max_finding_age_ms: float,
        checks_per_second: float = 0.0,
    ) -> None:
        self.peers, self.clock, self.scheduler, self.counters = peers, clock, scheduler, counters
        self.max_finding_age_ms = max_finding_age_ms
        self.rate_limit, self.stretch = HealthCheckRateLimit(checks_per_second, clock()), 1.0
        name = peers.core.local.name
        self.task_types = {
            task.kind: SharedTaskType(task, Ownership(name, task.interval_ms, rng)) for task in tasks
        }
        peers.on_member_change, peers.on_event = self.handle_member_change, self.handle_event
        self.has_membership_changed = True  # since the last sweep: a fleet that joins is one change
        self._alone_until_ms = clock() + (JOIN_TIMEOUT_MS if peers.core.seeds else 0.0)

    def sweep(self) -> None:
        """Updates members and targets, does what is due, and schedules the next sweep."""
        now_ms = self.clock()
        is_alone = len(self.peers.core.live_weights()) == 1
        if now_ms >= self._alone_until_ms or not is_alone:
            self._update_members(now_ms)
            self._update_targets(now_ms)
            self._perform_due(now_ms)
        self.scheduler.add(now_ms + SWEEP_INTERVAL_MS, self.sweep)

    def handle_member_change(self, change: MemberChange, name: str) -> None:
        """Notes that members changed.

        A suspect still counts, so that no task moves for a short silence. One that has stalled does not,
        though it keeps its place: its tasks are done by others meanwhile.
        """
        if self.peers.core.is_active:
            self.has_membership_changed = True
            return
        for shared in self.task_types.values():  # another director has this one's name: it owns nothing
            shared.ownership.owned.clear()

    def handle_event(self, event: UserEvent) -> None:
        """Handles another member's claim, or its finding."""
        kind, _, target = event.task.partition("/")
        shared, now_ms = self.task_types.get(kind), self.clock()
        if shared is None or target not in shared.targets:
            return
        claim = OwnershipClaim(event.epoch, event.owner)
        if not shared.ownership.handle_claim(target, claim, event.executed_at_ms or None, now_ms):
            return self.counters.add("duties.older_epoch")
        self._announce_claims(shared)
        if event.status:
            self._record_finding(shared.task_type, target, event, now_ms)

    def owned_tasks(self) -> list[str]:
        """Returns the tasks that this director owns as `kind/target`, sorted."""
        return sorted(
            f"{kind}/{target}"
            for kind, shared in self.task_types.items()
            for target in shared.ownership.owned
        )

    def _update_members(self, now_ms: float) -> None:
        if not (self.has_membership_changed and self.peers.core.is_active):
            return
        self.has_membership_changed, weights = False, self.peers.core.responsive_weights()
        for shared in self.task_types.values():
            shared.ownership.set_members(weights, now_ms)

    def _update_targets(self, now_ms: float) -> None:
        for kind, shared in self.task_types.items():
            targets = frozenset(shared.task_type.targets())
            # Identity first: comparing thousands of names twenty times a second costs.
            if targets is shared.targets or targets == shared.targets:
                continue
            for removed in shared.targets - targets:
                self.peers.core.forget_event(f"{kind}/{removed}")
            shared.targets = targets
            shared.ownership.set_tasks(targets, now_ms)

    def _perform_due(self, now_ms: float) -> None:
        wanted_per_second = sum(shared.wanted_per_second for shared in self.task_types.values())
        self.stretch = self.rate_limit.interval_stretch(wanted_per_second)
        for shared in self.task_types.values():
            shared.ownership.interval_ms = shared.task_type.interval_ms * self.stretch
            if not self.peers.core.is_active:  # another director has this one's name
                continue
            self._announce_claims(shared)
            due = shared.ownership.take_due(now_ms, self.rate_limit.allowance(now_ms))
            self.rate_limit.spend(len(due))
            for target, claim in due:
                self._perform(shared.task_type, target, claim)

    def _perform(self, task: TaskType, target: str, claim: OwnershipClaim) -> None:
        started_ms = self.clock()
        self.counters.add("duties.done")

        def on_result(status: api.Status, latency_ms: float, load: dict[str, float] | None) -> None:
            self.counters.add(f"duties.ended.{status.value}")
            age_ms = max(0.0, self.clock() - started_ms)
            task.record_result(api.HealthCheckResult(target, status, latency_ms, load, age_ms))
            name = f"{task.kind}/{target}"
            event = UserEvent(name, claim.owner, claim.epoch, started_ms, status.value, latency_ms, load)
            self.peers.publish_event(event)

        task.perform(target, on_result)

    def _record_finding(self, task: TaskType, target: str, event: UserEvent, now_ms: float) -> None:
        # A finding that is old, or of a clock that is off, says nothing of now.
        if abs(now_ms - event.executed_at_ms) > self.max_finding_age_ms:
            return self.counters.add("duties.too_old")
        try:
            status = api.Status(event.status)
        except ValueError:  # of a later version
            return self.counters.add("duties.unknown_status")
        self.counters.add("duties.heard")
        age_ms = max(0.0, now_ms - event.executed_at_ms)
        task.record_result(api.HealthCheckResult(target, status, event.duration_ms, event.load, age_ms))

    def _announce_claims(self, shared: SharedTaskType) -> None:
        for target, claim in shared.ownership.take_new_claims():
            self.counters.add("duties.claims")
            self.peers.publish_event(
                UserEvent(f"{shared.task_type.kind}/{target}", claim.owner, claim.epoch, 0.0)
            )

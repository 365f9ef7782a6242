"""Runs the periodic tasks that this director owns and shares their results with the other members.

`Ownership` determines the owners, `Membership` the live members. A type of task is a class that implements
`TaskType`; its tasks are then divided among directors, taken over after failures, and their results shared.
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

SWEEP_INTERVAL_MS = 50.0  # the longest time by which a due task is delayed
JOIN_TIMEOUT_MS = 1_000.0  # a new director waits this long to join: alone it would claim all others' tasks
ResultCallback = Callable[[api.Status, float, dict[str, float] | None], None]  # status, latency ms, load


class Peers(Protocol):
    """Interface of `TaskRunner` to the other members; `MembershipTransport` implements it with sockets."""

    core: Membership
    on_member_change: Callable[[MemberChange, str], None]
    on_event: Callable[[UserEvent], None]

    def publish_event(self, event: UserEvent) -> None:
        """Spreads a claim or a result to all members."""


class Scheduler(Protocol):
    """Schedules function calls; implemented by `Deadlines` and by simulations with virtual time."""

    def add(self, when_ms: float, call: Callable[[], None]) -> object:
        """Calls `call` at a Unix time in ms."""


class TaskType(Protocol):
    """A type of task: its targets, how to perform it for a target, and how to use the results."""

    kind: str  # sent in the messages between members
    interval_ms: float

    def targets(self) -> Iterable[str]:
        """Returns the names of the targets to perform it for; they are the same at every director."""

    def perform(self, target: str, on_result: ResultCallback) -> None:
        """Performs the task once for a target and reports the result."""

    def record_result(self, result: api.HealthCheckResult) -> None:
        """Uses a result of any member; called once for each. Its age counts from the start of the check."""


@dataclass(slots=True)
class SharedTaskType:
    """One type of task with this director's view of which member owns which target."""

    task_type: TaskType
    ownership: Ownership
    targets: frozenset[str] = frozenset()

    @property
    def wanted_per_second(self) -> float:
        """Rate at which all members together should perform this type of task."""
        return len(self.targets) * 1_000.0 / self.task_type.interval_ms


class TaskRunner:
    """Performs a director's tasks of all types.

    `max_result_age_ms`: older results of other members are ignored. `checks_per_second`: limit for all
    members together, 0 for no limit.
    """

    def __init__(
        self,
        peers: Peers,
        configured_types: Iterable[TaskType],
        clock: Callable[[], float],
        scheduler: Scheduler,
        counters: Counters,
        rng: random.Random,
        max_result_age_ms: float,
        checks_per_second: float = 0.0,
    ) -> None:
        self.peers, self.clock, self.scheduler, self.counters = peers, clock, scheduler, counters
        self.max_result_age_ms = max_result_age_ms
        self.rate_limit, self.stretch = HealthCheckRateLimit(checks_per_second, clock()), 1.0
        name = peers.core.local.name
        self.task_types = {
            task_type.kind: SharedTaskType(task_type, Ownership(name, task_type.interval_ms, rng))
            for task_type in configured_types
        }
        peers.on_member_change, peers.on_event = self.handle_member_change, self.handle_event
        self.has_membership_changed = True  # since the last sweep, which handles all changes together
        self._join_deadline_ms = clock() + (JOIN_TIMEOUT_MS if peers.core.seeds else 0.0)

    def sweep(self) -> None:
        """Updates members and targets, performs the due tasks, and schedules the next sweep."""
        now_ms = self.clock()
        is_alone = len(self.peers.core.live_weights()) == 1
        if now_ms >= self._join_deadline_ms or not is_alone:
            self._update_members(now_ms)
            self._update_targets(now_ms)
            self._perform_due(now_ms)
        self.scheduler.add(now_ms + SWEEP_INTERVAL_MS, self.sweep)

    def handle_member_change(self, change: MemberChange, name: str) -> None:
        """Records that the members changed.

        A suspect still owns tasks, so that a short interruption moves none. A stalled member does not: it
        stays a member, but others perform its tasks meanwhile.
        """
        if self.peers.core.is_active:
            self.has_membership_changed = True
            return
        for shared in self.task_types.values():  # another director has this name, so this one owns no tasks
            shared.ownership.owned.clear()

    def handle_event(self, event: UserEvent) -> None:
        """Handles another member's claim, or the result of its task."""
        kind, _, target = event.task.partition("/")
        shared, now_ms = self.task_types.get(kind), self.clock()
        if shared is None or target not in shared.targets:
            return
        claim = OwnershipClaim(event.epoch, event.owner)
        if not shared.ownership.handle_claim(target, claim, event.executed_at_ms or None, now_ms):
            return self.counters.add("duties.older_epoch")
        self._announce_claims(shared)
        if event.status:
            self._record_shared_result(shared.task_type, target, event, now_ms)

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
            # Compare identities first: comparing thousands of names twenty times a second takes CPU time.
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
            if not self.peers.core.is_active:  # another director has this name
                continue
            self._announce_claims(shared)
            due = shared.ownership.take_due(now_ms, self.rate_limit.allowance(now_ms))
            self.rate_limit.spend(len(due))
            for target, claim in due:
                self._perform(shared.task_type, target, claim)

    def _perform(self, task_type: TaskType, target: str, claim: OwnershipClaim) -> None:
        started_ms = self.clock()
        self.counters.add("duties.done")

        def on_result(status: api.Status, latency_ms: float, load: dict[str, float] | None) -> None:
            self.counters.add(f"duties.ended.{status.value}")
            age_ms = max(0.0, self.clock() - started_ms)
            task_type.record_result(api.HealthCheckResult(target, status, latency_ms, load, age_ms))
            task_name = f"{task_type.kind}/{target}"
            event = UserEvent(task_name, claim.owner, claim.epoch, started_ms, status.value, latency_ms, load)
            self.peers.publish_event(event)

        task_type.perform(target, on_result)

    def _record_shared_result(
        self, task_type: TaskType, target: str, event: UserEvent, now_ms: float
    ) -> None:
        # Ignore a result that is too old, or whose time is wrong because its owner's clock is.
        if abs(now_ms - event.executed_at_ms) > self.max_result_age_ms:
            return self.counters.add("duties.too_old")
        try:
            status = api.Status(event.status)
        except ValueError:  # a status that only a later version knows
            return self.counters.add("duties.unknown_status")
        self.counters.add("duties.heard")
        age_ms = max(0.0, now_ms - event.executed_at_ms)
        task_type.record_result(api.HealthCheckResult(target, status, event.duration_ms, event.load, age_ms))

    def _announce_claims(self, shared: SharedTaskType) -> None:
        for target, claim in shared.ownership.take_new_claims():
            self.counters.add("duties.claims")
            self.peers.publish_event(
                UserEvent(f"{shared.task_type.kind}/{target}", claim.owner, claim.epoch, 0.0)
            )

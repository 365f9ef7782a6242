"""The view that `gladewalk members` shows: the members and the owners of tasks, as known to this director."""

from __future__ import annotations

from collections import Counter

from .runner import TaskRunner
from .status import MembershipStatus, MemberStatus, OwnedTaskStatus

SHOWN_COUNTERS = ("members.", "duties.")  # prefixes


def membership_status(runner: TaskRunner) -> MembershipStatus:
    """Returns the view; times are rounded to 0.1 ms."""
    core = runner.peers.core
    members = [_own_status(runner), *_member_statuses(runner)]
    return MembershipStatus(
        director=core.local.name,
        is_active=core.is_active,
        health_score=core.health_score,
        interval_stretch=round(runner.stretch, 3),
        members=sorted(members, key=lambda member: member.name),
        owned_tasks=sorted(_owned_tasks(runner), key=lambda owned: owned.task),
        task_counts={kind: len(shared.targets) for kind, shared in runner.task_types.items()},
        counters={
            name: count for name, count in runner.counters.report().items() if name.startswith(SHOWN_COUNTERS)
        },
    )


def _owner_counts(runner: TaskRunner) -> Counter[str]:
    """Counts the tasks of each member, by the best known claims."""
    counts: Counter[str] = Counter()
    for shared in runner.task_types.values():
        counts.update(claim.owner for claim in shared.ownership.best_claims.values())
    return counts


def _own_status(runner: TaskRunner) -> MemberStatus:
    core = runner.peers.core
    own = core.local
    return MemberStatus(
        name=own.name,
        address=f"{own.host}:{own.port}",
        state="self" if core.is_active else "name taken",
        incarnation=own.incarnation,
        run_id=own.run_id,
        weight=own.weight,
        since_heard_ms=0.0,
        task_count=_owner_counts(runner)[own.name],
        health_score=core.health_score,
        is_stalled=False,
        probe_outcome=None,
    )


def _member_statuses(runner: TaskRunner) -> list[MemberStatus]:
    now_ms, owner_counts = runner.clock(), _owner_counts(runner)
    statuses = []
    for name, member in runner.peers.core.members.by_name.items():
        latest = member.update
        status = MemberStatus(
            name=name,
            address=f"{latest.host}:{latest.port}",
            state=latest.state.name.lower(),
            incarnation=latest.incarnation,
            run_id=latest.run_id,
            weight=latest.weight,
            since_heard_ms=round(now_ms - member.last_received_ms, 1),
            task_count=owner_counts[name],
            health_score=member.health_score,
            is_stalled=member.is_stalled,
            probe_outcome=member.probe_outcome.value if member.probe_outcome else None,
        )
        statuses.append(status)
    return statuses


def _owned_tasks(runner: TaskRunner) -> list[OwnedTaskStatus]:
    now_ms = runner.clock()
    return [
        OwnedTaskStatus(f"{kind}/{target}", owned.claim.epoch, round(owned.due_ms - now_ms, 1))
        for kind, shared in runner.task_types.items()
        for target, owned in shared.ownership.owned.items()
    ]

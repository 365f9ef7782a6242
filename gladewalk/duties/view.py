"""What `gladewalk members` shows: this director's view of the members and of who owns which task.

The JSON keys are part of the control protocol.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import msgspec

from .runner import TaskRunner

SHOWN_COUNTERS = ("members.", "duties.")  # prefixes


class MemberRow(
    msgspec.Struct,
    frozen=True,
    rename={
        "run_id": "run",
        "last_heard_ms": "heard_ms",
        "owned_tasks": "duties",
        "health_score": "health",
        "is_stalled": "stalled",
        "probe_outcome": "knocked",
    },
):
    """One member, as this director sees it."""

    name: str
    address: str
    state: str  # of membership; "self" or "name taken" for this director
    incarnation: int
    run_id: int
    weight: float
    last_heard_ms: float  # before now
    owned_tasks: int
    health_score: int
    is_stalled: bool
    probe_outcome: str | None  # of the last confirmation probe


class OwnedTaskRow(msgspec.Struct, frozen=True, rename={"task": "duty"}):
    """A task that this director owns."""

    task: str  # kind/target
    epoch: int
    due_ms: float  # from now


class MembersView(
    msgspec.Struct, frozen=True, rename={"is_active": "active", "health_score": "health", "targets": "duties"}
):
    """Members and shared tasks of one director; rows are sorted by name."""

    name: str
    is_active: bool  # False: another director has this one's name
    health_score: int
    stretch: float  # of the tasks' intervals, by the rate limit
    members: list[MemberRow]
    owned: list[OwnedTaskRow]
    targets: dict[str, int]  # how many there are, by kind of task
    counters: dict[str, int]


def view_of(runner: TaskRunner) -> MembersView:
    """Returns the view at this moment."""
    core = runner.peers.core
    counters = runner.counters.report()
    return MembersView(
        name=core.local.name,
        is_active=core.is_active,
        health_score=core.health_score,
        stretch=round(runner.stretch, 3),
        members=sorted(_member_rows(runner), key=lambda row: row.name),
        owned=sorted(_owned_rows(runner), key=lambda row: row.task),
        targets={kind: len(shared.targets) for kind, shared in runner.shared.items()},
        counters={name: count for name, count in counters.items() if name.startswith(SHOWN_COUNTERS)},
    )


def _owner_counts(runner: TaskRunner) -> Counter[str]:
    """Counts the tasks of each member, by the best claims that are known here."""
    counts: Counter[str] = Counter()
    for shared in runner.shared.values():
        counts.update(claim.owner for claim in shared.ownership.best_claims.values())
    return counts


def _member_rows(runner: TaskRunner) -> Iterator[MemberRow]:
    core, now_ms, owner_counts = runner.peers.core, runner.clock(), _owner_counts(runner)
    own = core.local
    yield MemberRow(
        name=own.name,
        address=f"{own.host}:{own.port}",
        state="self" if core.is_active else "name taken",
        incarnation=own.incarnation,
        run_id=own.run_id,
        weight=own.weight,
        last_heard_ms=0.0,
        owned_tasks=owner_counts[own.name],
        health_score=core.health_score,
        is_stalled=False,
        probe_outcome=None,
    )
    for name, member in core.members.by_name.items():
        latest = member.update
        yield MemberRow(
            name=name,
            address=f"{latest.host}:{latest.port}",
            state=latest.state.name.lower(),
            incarnation=latest.incarnation,
            run_id=latest.run_id,
            weight=latest.weight,
            last_heard_ms=round(now_ms - member.last_heard_ms, 1),
            owned_tasks=owner_counts[name],
            health_score=member.health_score,
            is_stalled=member.is_stalled,
            probe_outcome=member.probe_outcome.value if member.probe_outcome else None,
        )


def _owned_rows(runner: TaskRunner) -> Iterator[OwnedTaskRow]:
    now_ms = runner.clock()
    for kind, shared in runner.shared.items():
        for target, owned in shared.ownership.owned.items():
            yield OwnedTaskRow(f"{kind}/{target}", owned.claim.epoch, round(owned.due_ms - now_ms, 1))

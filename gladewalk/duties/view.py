"""What `gladewalk members` shows: this director's view of the members and of who owns which task."""

from __future__ import annotations

from collections import Counter
from typing import Any

from .runner import TaskRunner

SHOWN_COUNTERS = ("members.", "duties.")  # prefixes


def view_of(runner: TaskRunner) -> dict[str, Any]:
    """Returns the view as JSON values; times are in ms before now, or until; rows are sorted by name."""
    core = runner.peers.core
    rows = [_own_row(runner), *_member_rows(runner)]
    return {
        "name": core.local.name,
        "active": core.is_active,
        "health": core.health_score,
        "stretch": round(runner.stretch, 3),
        "members": sorted(rows, key=lambda row: str(row["name"])),
        "owned": sorted(_owned_rows(runner), key=lambda row: str(row["duty"])),
        "duties": {kind: len(shared.targets) for kind, shared in runner.shared.items()},
        "counters": {
            name: count for name, count in runner.counters.report().items() if name.startswith(SHOWN_COUNTERS)
        },
    }


def _owner_counts(runner: TaskRunner) -> Counter[str]:
    """Counts the tasks of each member, by the best claims that are known here."""
    counts: Counter[str] = Counter()
    for shared in runner.shared.values():
        counts.update(claim.owner for claim in shared.ownership.best_claims.values())
    return counts


def _own_row(runner: TaskRunner) -> dict[str, Any]:
    core = runner.peers.core
    own = core.local
    return {
        "name": own.name,
        "address": f"{own.host}:{own.port}",
        "state": "self" if core.is_active else "name taken",
        "incarnation": own.incarnation,
        "run": own.run_id,
        "weight": own.weight,
        "heard_ms": 0.0,
        "duties": _owner_counts(runner)[own.name],
        "health": core.health_score,
        "stalled": False,
        "knocked": None,
    }


def _member_rows(runner: TaskRunner) -> list[dict[str, Any]]:
    now_ms, owner_counts = runner.clock(), _owner_counts(runner)
    rows = []
    for name, member in runner.peers.core.members.by_name.items():
        latest = member.update
        rows.append(
            {
                "name": name,
                "address": f"{latest.host}:{latest.port}",
                "state": latest.state.name.lower(),
                "incarnation": latest.incarnation,
                "run": latest.run_id,
                "weight": latest.weight,
                "heard_ms": round(now_ms - member.last_heard_ms, 1),
                "duties": owner_counts[name],
                "health": member.health_score,
                "stalled": member.is_stalled,
                "knocked": member.probe_outcome.value if member.probe_outcome else None,
            }
        )
    return rows


def _owned_rows(runner: TaskRunner) -> list[dict[str, Any]]:
    now_ms = runner.clock()
    return [
        {"duty": f"{kind}/{target}", "epoch": owned.claim.epoch, "due_ms": round(owned.due_ms - now_ms, 1)}
        for kind, shared in runner.shared.items()
        for target, owned in shared.ownership.owned.items()
    ]

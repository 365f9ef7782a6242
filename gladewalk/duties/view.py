"""What `gladewalk members` shows: this director's view of the members, and who holds which duty."""

from __future__ import annotations

from collections import Counter
from typing import Any

from .runner import Runner


def view_of(runner: Runner) -> dict[str, Any]:
    """Times are in ms before now, or until; names are in the order of the alphabet."""
    core, now = runner.members.core, runner.clock()
    holders: Counter[str] = Counter()
    for owned in runner.owned.values():
        holders.update(claim.owner for claim in owned.best.values())
    me = core.local
    rows = [
        {"name": me.name, "address": f"{me.host}:{me.port}",
         "state": "self" if core.is_active else "name taken",
         "incarnation": me.incarnation, "run": me.run_id, "weight": me.weight, "heard_ms": 0.0,
         "duties": holders[me.name], "health": core.health_score, "stalled": False, "knocked": None},
    ]  # fmt: skip
    for name, member in core.members.by_name.items():
        known = member.update
        rows.append({
            "name": name, "address": f"{known.host}:{known.port}", "state": known.state.name.lower(),
            "incarnation": known.incarnation, "run": known.run_id, "weight": known.weight,
            "heard_ms": round(now - member.last_heard_ms, 1), "duties": holders[name],
            "health": member.health_score, "stalled": member.is_stalled,
            "knocked": member.probe_outcome.value if member.probe_outcome else None,
        })  # fmt: skip
    own = [
        {"duty": f"{kind}/{name}", "epoch": held.claim.epoch, "due_ms": round(held.due_ms - now, 1)}
        for kind, owned in runner.owned.items()
        for name, held in owned.held.items()
    ]
    return {
        "name": me.name,
        "active": core.is_active,
        "health": core.health_score,
        "stretch": round(runner.stretch, 3),
        "members": sorted(rows, key=lambda row: str(row["name"])),
        "owned": sorted(own, key=lambda row: str(row["duty"])),
        "duties": {kind: len(names) for kind, names in runner.known.items()},
        "counters": {
            name: count
            for name, count in runner.counters.report().items()
            if name.startswith(("members.", "duties."))
        },
    }

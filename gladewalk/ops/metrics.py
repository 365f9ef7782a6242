"""The figures of `GET /ops/stats`, as lines `svc.NAME=VALUE`; made from counts, without I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

ENDS = ("completed", "rejected", "failed")


def final_counter(class_name: str, end: str) -> str:
    """The counter's name for a final answer of a class; `end` is one of `ENDS`."""
    return f"downstream_requests.{class_name}.{end}"


@dataclass(slots=True, frozen=True)
class Now:
    """What is so at the moment of a call: requests taken and not ended, caches listed and avoided."""

    pending: int
    members: int
    members_unavailable: int


def stats(counters: Mapping[str, int], classes: Iterable[str], now: Now) -> bytes:
    """Every class that is in use or was ever counted, each of its ends, then the others; one line each.

    `counters` holds `downstream_requests.C.END`, `attempts.written`, `reloads.done` and `reloads.refused`;
    a name never counted reads as 0.
    """
    named = set(classes)
    for name in counters:
        if name.startswith("downstream_requests."):
            named.add(name[len("downstream_requests.") : name.rindex(".")])
    lines = [
        f"svc.{final_counter(cls, end)}={counters.get(final_counter(cls, end), 0)}"
        for cls in sorted(named)
        for end in ENDS
    ]
    lines += [
        f"svc.upstream_requests={counters.get('attempts.written', 0)}",
        f"svc.pending={now.pending}",
        f"svc.members={now.members}",
        f"svc.members_unavailable={now.members_unavailable}",
        f"svc.config_reloads={counters.get('reloads.done', 0)}",
        f"svc.config_reload_errors={counters.get('reloads.refused', 0)}",
    ]
    return ("\n".join(lines) + "\n").encode("ascii", "replace")

"""A checker over what members said of one another: wrong deaths, times to detect, times to agree. No I/O.

The history is every change that any member noted, with its time on one clock: out of a fleet's logs
(`faultnet`) or of a network in memory (`rehearsal/member_network.py`). What happened is given as causes:
between whom and when a death could rightly be found.
"""

from __future__ import annotations

import re
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime
from typing import Any

from .actions import MemberChange

GONE = frozenset((MemberChange.DIED, MemberChange.LEFT))
BACK = frozenset((MemberChange.JOINED, MemberChange.CLEARED))
EVENT = re.compile(r"member_([a-z_]+)\Z")


@dataclass(slots=True, frozen=True)
class Seen:
    """One change, as `by` noted it of `name`."""

    at_ms: float
    by: str
    change: MemberChange
    name: str


@dataclass(slots=True, frozen=True)
class Cause:
    """From `begin_ms` to `end_ms`, who is in `by` may rightly find dead who is in `names`."""

    begin_ms: float
    end_ms: float
    by: frozenset[str]
    names: frozenset[str]

    def covers(self, seen: Seen) -> bool:
        """Whether this accounts for the change."""
        return self.begin_ms <= seen.at_ms <= self.end_ms and seen.by in self.by and seen.name in self.names


def from_log(name: str, lines: Iterable[Mapping[str, Any]]) -> list[Seen]:
    """The changes in the log of the director of this name, of all its runs."""
    seen: list[Seen] = []
    known: set[str] = set()
    for line in lines:
        event, stamp = str(line.get("event", "")), line.get("timestamp")
        found = EVENT.match(event)
        if not isinstance(stamp, str) or line.get("by") != name:
            continue
        at_ms = datetime.fromisoformat(stamp.replace("Z", "+00:00")).timestamp() * 1_000.0
        if event == "members_listening":  # a start: what its earlier run knew is gone
            seen += [Seen(at_ms, name, MemberChange.LEFT, other) for other in sorted(known)]
            known.clear()
        elif found is not None:
            known.add(str(line["member"]))
            seen.append(Seen(at_ms, name, MemberChange(found[1]), str(line["member"])))
    return seen


def wrong_deaths(seen: Iterable[Seen], causes: Sequence[Cause]) -> list[Seen]:
    """Deaths that nothing accounts for."""
    died = (one for one in seen if one.change is MemberChange.DIED)
    return [one for one in died if not any(cause.covers(one) for cause in causes)]


def detected_ms(seen: Iterable[Seen], name: str, since_ms: float, by: Collection[str]) -> dict[str, float]:
    """How long each of `by` took to hold `name` dead; who never did is not in it."""
    times: dict[str, float] = {}
    for one in sorted(seen, key=lambda one: one.at_ms):
        if one.name == name and one.change is MemberChange.DIED and one.at_ms >= since_ms and one.by in by:
            times.setdefault(one.by, one.at_ms - since_ms)
    return times


def agreed_ms(seen: Iterable[Seen], since_ms: float, names: Collection[str]) -> float | None:
    """From `since_ms` until each of `names` holds every other for a member, for good; None: they do not.

    A suspect is a member still. A member that nothing was noted of is not held for one.
    """
    missing = {(by, name) for by in names for name in names if by != name}
    known = frozenset(names)
    whole_at: float | None = None
    for one in sorted(seen, key=lambda one: one.at_ms):
        if one.by not in known or one.name not in known or one.by == one.name:
            continue
        if one.change in GONE:
            missing.add((one.by, one.name))
        elif one.change in BACK:
            missing.discard((one.by, one.name))
        if missing:
            whole_at = None
        elif whole_at is None:
            whole_at = one.at_ms
    return None if whole_at is None else max(0.0, whole_at - since_ms)

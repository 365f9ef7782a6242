"""Checks of a fleet's membership history: unexpected deaths, detection times, convergence.

A history contains every change that any member observed, with times of one clock. It is read from a fleet's
logs (`faultnet`) or recorded in a simulated network (`rehearsal/member_network.py`). The faults that were
injected are given as expected failures: which deaths may be observed, by which members, and when.
"""

from __future__ import annotations

import re
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime
from typing import Any

from .actions import MemberChange

DEPARTURES = frozenset((MemberChange.DIED, MemberChange.LEFT))
ARRIVALS = frozenset((MemberChange.JOINED, MemberChange.CLEARED))
START_EVENT = "members_listening"
CHANGE_EVENT = re.compile(r"member_([a-z_]+)\Z")


@dataclass(slots=True, frozen=True)
class ObservedChange:
    """A change of `member` that `observer` recorded, at a Unix time in ms."""

    at_ms: float
    observer: str
    change: MemberChange
    member: str


@dataclass(slots=True, frozen=True)
class ExpectedFailure:
    """From `begin_ms` to `end_ms`, any of `observers` may declare any of `members` dead."""

    begin_ms: float
    end_ms: float
    observers: frozenset[str]
    members: frozenset[str]

    def covers(self, observed: ObservedChange) -> bool:
        """Whether this failure explains an observed death."""
        is_in_time = self.begin_ms <= observed.at_ms <= self.end_ms
        return is_in_time and observed.observer in self.observers and observed.member in self.members


def changes_from_log(name: str, lines: Iterable[Mapping[str, Any]]) -> list[ObservedChange]:
    """Reads the changes that the director of this name logged, in all its runs.

    The start of a run counts as the departure of all members that the previous run knew.
    """
    changes: list[ObservedChange] = []
    known: set[str] = set()
    for line in lines:
        timestamp = line.get("timestamp")
        if not isinstance(timestamp, str) or line.get("by") != name:
            continue
        at_ms = datetime.fromisoformat(timestamp.replace("Z", "+00:00")).timestamp() * 1_000.0
        event = str(line.get("event", ""))
        if event == START_EVENT:
            changes += [ObservedChange(at_ms, name, MemberChange.LEFT, other) for other in sorted(known)]
            known.clear()
        elif (event_match := CHANGE_EVENT.match(event)) is not None:
            member = str(line["member"])
            known.add(member)
            changes.append(ObservedChange(at_ms, name, MemberChange(event_match[1]), member))
    return changes


def unexpected_deaths(
    changes: Iterable[ObservedChange], expected: Sequence[ExpectedFailure]
) -> list[ObservedChange]:
    """Returns the observed deaths that no expected failure covers."""
    deaths = (observed for observed in changes if observed.change is MemberChange.DIED)
    return [death for death in deaths if not any(failure.covers(death) for failure in expected)]


def detection_times_ms(
    changes: Iterable[ObservedChange], member: str, since_ms: float, observers: Collection[str]
) -> dict[str, float]:
    """Returns the time from `since_ms` until each observer declared `member` dead.

    Observers that never did are left out.
    """
    times_ms: dict[str, float] = {}
    for observed in sorted(changes, key=lambda observed: observed.at_ms):
        is_death = observed.member == member and observed.change is MemberChange.DIED
        if is_death and observed.at_ms >= since_ms and observed.observer in observers:
            times_ms.setdefault(observed.observer, observed.at_ms - since_ms)
    return times_ms


def convergence_time_ms(
    changes: Iterable[ObservedChange], since_ms: float, names: Collection[str]
) -> float | None:
    """Returns the time from `since_ms` until each of `names` lists all others as members, to the end.

    None if they did not converge. A suspect counts as a member; a member without any observed change does
    not.
    """
    missing = {(observer, member) for observer in names for member in names if observer != member}
    fleet = frozenset(names)
    converged_at_ms: float | None = None
    for observed in sorted(changes, key=lambda observed: observed.at_ms):
        pair = observed.observer, observed.member
        if not fleet.issuperset(pair) or observed.observer == observed.member:
            continue
        if observed.change in DEPARTURES:
            missing.add(pair)
        elif observed.change in ARRIVALS:
            missing.discard(pair)
        if missing:
            converged_at_ms = None
        elif converged_at_ms is None:
            converged_at_ms = observed.at_ms
    return None if converged_at_ms is None else max(0.0, converged_at_ms - since_ms)

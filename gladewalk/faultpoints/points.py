"""The catalogue of points, how a run passes them, and the one fault that is put to a run. No I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum


class Kind(Enum):
    """What may happen at a point."""

    KILL = "kill"  # the process is gone before it does what it was about to do
    POWER = "power"  # the machine loses power, and its disk what was not synced
    REFUSE = "refuse"  # the disk refuses
    LOSE = "lose"  # the message is lost
    DOUBLE = "double"  # it comes twice
    LATE = "late"  # it comes much later, after newer ones
    STALL = "stall"  # the process stops there for a while


DISK = (Kind.KILL, Kind.POWER, Kind.REFUSE)
MESSAGE = (Kind.KILL, Kind.LOSE, Kind.DOUBLE, Kind.LATE, Kind.STALL)
PROCESS = (Kind.KILL, Kind.STALL)


@dataclass(slots=True, frozen=True)
class Point:
    name: str  # part.act.what
    kinds: tuple[Kind, ...]
    proves: str  # what holds whatever happens there


def _points(part: str, act: str, whats: str, kinds: tuple[Kind, ...], proves: str) -> list[Point]:
    return [Point(f"{part}.{act}.{what}", kinds, proves) for what in whats.split()]


LASTS = "what was acknowledged is there after the start, nothing torn, nothing that was never put"
ONE = "one holder at a time, no stale token accepted, every duty held again"
ROSTER = "nobody found dead that was not killed, one roster in the end"
ELECTION_MESSAGES = "PreVoteRequest PreVoteResponse VoteRequest VoteGranted VoteDenied LeaseRelease"

CATALOGUE: tuple[Point, ...] = (
    *_points("store", "disk", "create append sync sync_names rename remove read cut", DISK, LASTS),
    *_points("store", "start", "recover", (Kind.KILL, Kind.POWER), LASTS),
    *_points("leases", "save", "grant", (Kind.KILL, Kind.STALL), ONE),
    *_points("leases", "send", ELECTION_MESSAGES, MESSAGE, ONE),
    *_points("leases", "take", ELECTION_MESSAGES, PROCESS, ONE),
    *_points("leases", "act", "begin repeat", (Kind.KILL, Kind.LATE, Kind.STALL), ONE),
    *_points("members", "send", "Ping Ack PingFor Join Roster Nack", MESSAGE, ROSTER),
    *_points("members", "take", "Ping Ack PingFor Join Roster Nack", PROCESS, ROSTER),
    *_points("members", "dial", "exchange knock", (Kind.KILL, Kind.LOSE, Kind.STALL), ROSTER),
    *_points("members", "verdict", "suspected died", PROCESS, ROSTER),
)
BY_NAME = {point.name: point for point in CATALOGUE}


@dataclass(slots=True, frozen=True)
class Passed:
    """One pass of a point: its number in its run, the point, and how often the run had passed that before."""

    number: int
    point: Point
    times: int


class Unlisted(Exception):
    """A run passed a point that the catalogue does not have."""


class Points:
    """What one run passes; the fault that it is put to, if any, happens once."""

    def __init__(self, at: int | None = None, kind: Kind | None = None) -> None:
        self.at, self.kind = at, kind
        self.passed: list[Passed] = []
        self.times: Counter[str] = Counter()
        self.happened = False
        self.counting = True  # off once a run is over but for its checks

    def reach(self, name: str) -> Kind | None:
        """To be asked where a part is about to act: the fault that happens there now."""
        if not self.counting:
            return None
        point = BY_NAME.get(name)
        if point is None:
            raise Unlisted(name)
        number = len(self.passed)
        self.passed.append(Passed(number, point, self.times[name]))
        self.times[name] += 1
        if number != self.at or self.kind is None:
            return None
        self.happened = True
        return self.kind

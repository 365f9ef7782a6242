"""Catalogue of fault points, and the injector that counts a run's passes and plays one fault. No I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from ..errors import GladewalkError


class FaultKind(Enum):
    """What may happen at a point."""

    KILL = "kill"  # the process is gone before it does what it was about to do
    POWER_LOSS = "power"  # the machine loses power, and its disk what was not synced
    REJECT = "refuse"  # the disk rejects the call
    DROP = "lose"  # the message is lost
    DUPLICATE = "double"  # it arrives twice
    DELAY = "late"  # it arrives much later, after newer ones
    STALL = "stall"  # the process stops there for a while


DISK = (FaultKind.KILL, FaultKind.POWER_LOSS, FaultKind.REJECT)
MESSAGE = (FaultKind.KILL, FaultKind.DROP, FaultKind.DUPLICATE, FaultKind.DELAY, FaultKind.STALL)
PROCESS = (FaultKind.KILL, FaultKind.STALL)


@dataclass(slots=True, frozen=True)
class FaultPoint:
    """A named place, `part.act.what`; the faults that can happen there, and what holds whichever does."""

    name: str
    kinds: tuple[FaultKind, ...]
    invariant: str


def _points(
    part: str, act: str, whats: str, kinds: tuple[FaultKind, ...], invariant: str
) -> list[FaultPoint]:
    return [FaultPoint(f"{part}.{act}.{what}", kinds, invariant) for what in whats.split()]


LASTS = "what was acknowledged is there after the start, nothing torn, nothing that was never put"
ONE = "one holder at a time, no stale token accepted, every duty held again"
ROSTER = "nobody found dead that was not killed, one roster in the end"
ELECTION_MESSAGES = "PreVoteRequest PreVoteResponse VoteRequest VoteGranted VoteDenied LeaseRelease"

CATALOGUE: tuple[FaultPoint, ...] = (
    *_points("store", "disk", "create append sync sync_names rename remove read cut", DISK, LASTS),
    *_points("store", "start", "recover", (FaultKind.KILL, FaultKind.POWER_LOSS), LASTS),
    *_points("leases", "save", "grant", (FaultKind.KILL, FaultKind.STALL), ONE),
    *_points("leases", "send", ELECTION_MESSAGES, MESSAGE, ONE),
    *_points("leases", "take", ELECTION_MESSAGES, PROCESS, ONE),
    *_points("leases", "act", "begin repeat", (FaultKind.KILL, FaultKind.DELAY, FaultKind.STALL), ONE),
    *_points("members", "send", "Ping Ack PingFor Join Roster Nack", MESSAGE, ROSTER),
    *_points("members", "take", "Ping Ack PingFor Join Roster Nack", PROCESS, ROSTER),
    *_points("members", "dial", "exchange knock", (FaultKind.KILL, FaultKind.DROP, FaultKind.STALL), ROSTER),
    *_points("members", "verdict", "suspected died", PROCESS, ROSTER),
)
_POINTS_BY_NAME = {point.name: point for point in CATALOGUE}


@dataclass(slots=True, frozen=True)
class PointPass:
    """One pass of a point: its number in the run, and how often the run had passed that point before."""

    number: int
    point: FaultPoint
    occurrence: int


class UnlistedPointError(GladewalkError):
    """A run passed a point that the catalogue doesn't have."""


class FaultInjector:
    """Counts what one run passes, and plays fault `kind` once, at pass number `at`; no fault if None."""

    def __init__(self, at: int | None = None, kind: FaultKind | None = None) -> None:
        self.at, self.kind = at, kind
        self.passes: list[PointPass] = []
        self.is_fault_played = False
        self.is_counting = True  # off once a run is over but for its checks
        self._occurrences: Counter[str] = Counter()

    def reach(self, name: str) -> FaultKind | None:
        """Passes a point, before the part acts; the fault that happens there now, or None.

        Raises `UnlistedPointError`.
        """
        if not self.is_counting:
            return None
        point = _POINTS_BY_NAME.get(name)
        if point is None:
            raise UnlistedPointError(name)
        number = len(self.passes)
        self.passes.append(PointPass(number, point, self._occurrences[name]))
        self._occurrences[name] += 1
        if number != self.at or self.kind is None:
            return None
        self.is_fault_played = True
        return self.kind

"""Catalogue of fault points, and the injector that counts a run's passes and injects one fault. No I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from ..errors import GladewalkError


class FaultKind(Enum):
    """The faults that can be injected at a point."""

    KILL = "kill"  # the process is killed before it executes the step
    POWER_LOSS = "power"  # the machine loses power, and its disk loses the data that were not synced
    REJECT = "refuse"  # the disk rejects the call
    DROP = "lose"  # the message is lost
    DUPLICATE = "double"  # the message is received twice
    DELAY = "late"  # the message is received much later, after newer ones
    STALL = "stall"  # the process is stopped at the point for a while


DISK = (FaultKind.KILL, FaultKind.POWER_LOSS, FaultKind.REJECT)
MESSAGE = (FaultKind.KILL, FaultKind.DROP, FaultKind.DUPLICATE, FaultKind.DELAY, FaultKind.STALL)
PROCESS = (FaultKind.KILL, FaultKind.STALL)


@dataclass(slots=True, frozen=True)
class FaultPoint:
    """A point of name `part.operation.suffix`, the faults that can be injected there, and the invariant."""

    name: str
    kinds: tuple[FaultKind, ...]
    invariant: str


def _points(
    part: str, operation: str, suffixes: str, kinds: tuple[FaultKind, ...], invariant: str
) -> list[FaultPoint]:
    return [FaultPoint(f"{part}.{operation}.{suffix}", kinds, invariant) for suffix in suffixes.split()]


DURABILITY = "after the start there is every acknowledged value, no torn one and none that was never put"
SINGLE_HOLDER = "one holder at a time, no stale token is accepted, and each task has a holder at the end"
MEMBERSHIP = "no member is declared dead that was not killed, and all member lists are equal at the end"
ELECTION_MESSAGES = "PreVoteRequest PreVoteResponse VoteRequest VoteGranted VoteDenied LeaseRelease"

CATALOGUE: tuple[FaultPoint, ...] = (
    *_points("store", "disk", "create append sync sync_names rename remove read cut", DISK, DURABILITY),
    *_points("store", "start", "recover", (FaultKind.KILL, FaultKind.POWER_LOSS), DURABILITY),
    *_points("leases", "save", "grant", (FaultKind.KILL, FaultKind.STALL), SINGLE_HOLDER),
    *_points("leases", "send", ELECTION_MESSAGES, MESSAGE, SINGLE_HOLDER),
    *_points("leases", "take", ELECTION_MESSAGES, PROCESS, SINGLE_HOLDER),
    *_points(
        "leases", "act", "begin repeat", (FaultKind.KILL, FaultKind.DELAY, FaultKind.STALL), SINGLE_HOLDER
    ),
    *_points("members", "send", "Ping Ack PingFor Join Roster Nack", MESSAGE, MEMBERSHIP),
    *_points("members", "take", "Ping Ack PingFor Join Roster Nack", PROCESS, MEMBERSHIP),
    *_points(
        "members", "dial", "exchange knock", (FaultKind.KILL, FaultKind.DROP, FaultKind.STALL), MEMBERSHIP
    ),
    *_points("members", "verdict", "suspected died", PROCESS, MEMBERSHIP),
)
_POINTS_BY_NAME = {point.name: point for point in CATALOGUE}


@dataclass(slots=True, frozen=True)
class PointPass:
    """One pass of a point: its number in the run, and how often the run passed that point before."""

    number: int
    point: FaultPoint
    occurrence: int


class UnlistedPointError(GladewalkError):
    """A run passed a point that is not in the catalogue."""


class FaultInjector:
    """Counts the passes of one run, and injects fault `kind` at pass number `at`; no fault if None."""

    def __init__(self, at: int | None = None, kind: FaultKind | None = None) -> None:
        self.at, self.kind = at, kind
        self.passes: list[PointPass] = []
        self.is_fault_injected = False
        self.is_counting = True  # False once only the checks of a run remain
        self._occurrences: Counter[str] = Counter()

    def record_pass(self, name: str) -> FaultKind | None:
        """Records that a run passes a point, before its step; returns the fault to inject there, or None.

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
        self.is_fault_injected = True
        return self.kind

"""Fault schedules that membership must tolerate, run against processes and against a simulated network.

Each case has its targets by their index among the members (0 and 1 are the seeds of all members). In no case
may a live member be declared dead unexpectedly; in some the target must be declared dead by all others.
"""

from __future__ import annotations

from dataclasses import dataclass

from .schedule import Fault, FaultKind


@dataclass(slots=True, frozen=True)
class FaultCase:
    """One fault of `duration_ms`; `kind` and `amount` are those of `schedule.Fault`."""

    name: str
    kind: FaultKind
    duration_ms: float
    target_indexes: tuple[int, ...] = ()
    amount: float = 0.0
    must_be_declared_dead: bool = False  # all others must declare the first target dead meanwhile
    is_partition: bool = False  # the targets are the first two fifths of the fleet

    def faults(self, names: tuple[str, ...], at_ms: float = 0.0) -> list[Fault]:
        """Returns the schedule for a fleet of these names, beginning at `at_ms`."""
        targets = tuple(names[index] for index in self.target_indexes if index < len(names))
        if self.is_partition:
            targets = names[: max(1, len(names) * 2 // 5)]
        return [Fault(at_ms, self.duration_ms, self.kind, targets, self.amount)]


CASES = (
    FaultCase("loss of 10 %", FaultKind.LOSS, 12_000.0, amount=0.1),
    FaultCase("loss of 30 %", FaultKind.LOSS, 12_000.0, amount=0.3),
    FaultCase("one link, one way", FaultKind.LINK, 8_000.0, (0, 2)),
    FaultCase("a flapping link", FaultKind.FLAP, 9_000.0, (1, 2), amount=700.0),
    FaultCase("200 ms and jitter", FaultKind.DELAY, 12_000.0, amount=200.0),
    FaultCase("heard by nobody", FaultKind.CUT_OUT, 7_000.0, (2,), must_be_declared_dead=True),
    FaultCase("a pause of 5 s", FaultKind.PAUSE, 5_000.0, (2,)),
    FaultCase("a pause of 15 s", FaultKind.PAUSE, 15_000.0, (2,), must_be_declared_dead=True),
    FaultCase("a crash", FaultKind.KILL, 5_000.0, (2,), must_be_declared_dead=True),
    FaultCase("a crash of a seed", FaultKind.KILL, 5_000.0, (0,), must_be_declared_dead=True),
    FaultCase("a restart at once", FaultKind.KILL, 150.0, (2,)),
    FaultCase("two sides", FaultKind.PARTITION, 20_000.0, is_partition=True),
)

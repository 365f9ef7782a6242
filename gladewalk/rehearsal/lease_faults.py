"""The faults of the lease simulation and the generation of fault schedules from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

SCHEDULE_SEED_MASK = 0x5EED  # separates the draws of schedules from a simulation's with the same seed
FIRST_FAULT_MS = 1_500.0  # by then each lease has a holder
QUIET_END_MS = 4_000.0  # no fault begins within this time of the run's end, so that each ends before the end
FAULT_DURATION_MS = (200.0, 2_500.0)
FAULT_AMOUNT = (0.05, 0.4)


class FaultKind(Enum):
    """The faults of directors, the network and clocks."""

    PAUSE = "pause"
    KILL = "kill"
    TORN_GRANT = "torn"  # killed between a save and its grant
    CLEAN_STOP = "stop"
    CUT_OUTBOUND = "cut_out"  # the director receives messages, but those that it sends are lost
    CUT_INBOUND = "cut_in"  # the reverse: it receives nothing
    PARTITION = "partition"
    LOSS = "loss"
    DUPLICATION = "double"
    LATE_OPERATIONS = "late_acts"
    CLOCK_RATE = "clock"  # the clock runs fast or slow by the whole drift bound from then on, without a jump


PROCESS_FAULTS = (FaultKind.PAUSE, FaultKind.KILL, FaultKind.TORN_GRANT, FaultKind.CLEAN_STOP)
SCHEDULED_KINDS = (
    FaultKind.PAUSE,
    FaultKind.PAUSE,
    FaultKind.KILL,
    FaultKind.TORN_GRANT,
    FaultKind.CLEAN_STOP,
    FaultKind.CUT_OUTBOUND,
    FaultKind.CUT_INBOUND,
    FaultKind.PARTITION,
    FaultKind.LOSS,
    FaultKind.DUPLICATION,
    FaultKind.LATE_OPERATIONS,
    FaultKind.CLOCK_RATE,
)


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault of a schedule: affects `directors` (one side of a partition) for `duration_ms`."""

    at_ms: float
    duration_ms: float
    kind: FaultKind
    directors: tuple[str, ...]
    amount: float = 0.0


def generate_schedule(
    seed: int,
    names: tuple[str, ...],
    length_ms: float,
    fault_count: int,
    kinds: tuple[FaultKind, ...] = SCHEDULED_KINDS,
) -> list[Fault]:
    """Generates faults in order of time; each begins at least `QUIET_END_MS` before the run's end."""
    rng = random.Random(seed ^ SCHEDULE_SEED_MASK)
    faults = []
    for _ in range(fault_count):
        kind = rng.choice(kinds)
        at_ms = rng.uniform(FIRST_FAULT_MS, length_ms - QUIET_END_MS)
        duration_ms = rng.uniform(*FAULT_DURATION_MS)
        count = rng.randint(1, len(names) // 2 + 1) if kind in (FaultKind.KILL, FaultKind.PAUSE) else 1
        if kind is FaultKind.PARTITION:
            count = rng.randint(1, len(names) - 1)
        directors = tuple(rng.sample(names, count))
        faults.append(Fault(at_ms, duration_ms, kind, directors, rng.uniform(*FAULT_AMOUNT)))
    return sorted(faults, key=lambda fault: fault.at_ms)

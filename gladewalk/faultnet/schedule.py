"""Seeded schedules of faults, stored as TOML; run by `nemesis` against processes, or by simulations.

    [[fault]]
    at_ms = 3000.0      # time after the start of the schedule
    ms = 2500.0         # duration
    kind = "pause"      # see FaultKind
    who = ["n0"]
    amount = 0.3        # fraction of datagrams, ms of delay and of jitter, or ms of each phase of a flap

    pause       SIGSTOP, then SIGCONT          cut_out    receives, but everything that it sends is lost
    kill        SIGKILL, then a start          cut_in     sends, but receives nothing
    stop        SIGTERM, then a start          link       a cut from the first of `who` to the second, one way
    partition   `who` cut off from the others  flap       alternating cuts between two directors, both ways
    loss, double, delay   on every path

The same seed gives the same schedule. Faults may overlap, and each ends independently.
"""

from __future__ import annotations

import random
from enum import StrEnum
from pathlib import Path

import msgspec
import tomli_w

from ..config.toml_file import load_toml

MIN_START_MS = 2_000.0
END_MARGIN_MS = 4_000.0  # each fault begins at least this long before the end of a schedule
DURATION_RANGE_MS = (500.0, 3_000.0)
FRACTION_RANGE = (0.05, 0.3)  # of datagrams lost or duplicated
DELAY_RANGE_MS = (20.0, 200.0)

Pair = tuple[str, str]


class FaultKind(StrEnum):
    """The kind of a fault; the values are written in schedule files."""

    PAUSE = "pause"
    KILL = "kill"
    STOP = "stop"
    CUT_OUT = "cut_out"
    CUT_IN = "cut_in"
    PARTITION = "partition"
    LOSS = "loss"
    DELAY = "delay"
    LINK = "link"
    FLAP = "flap"
    DUPLICATE = "double"


GENERATED_KINDS = (
    FaultKind.PAUSE,
    FaultKind.KILL,
    FaultKind.STOP,
    FaultKind.CUT_OUT,
    FaultKind.CUT_IN,
    FaultKind.PARTITION,
    FaultKind.LOSS,
    FaultKind.DELAY,
)


class Fault(msgspec.Struct, frozen=True, rename={"duration_ms": "ms", "targets": "who"}):
    """One fault from `at_ms` after the schedule's start, for `duration_ms`, on the directors `targets`."""

    at_ms: float
    duration_ms: float
    kind: FaultKind
    targets: tuple[str, ...]
    amount: float = 0.0


class Schedule(msgspec.Struct, frozen=True):
    """A schedule file, with one table `fault` for each fault."""

    fault: list[Fault] = []


def generate_schedule(
    seed: int,
    names: tuple[str, ...],
    length_ms: float,
    count: int,
    kinds: tuple[FaultKind, ...] = GENERATED_KINDS,
) -> list[Fault]:
    """Draws `count` faults on the directors `names`, in the order of their start."""
    rng = random.Random(seed)
    faults = [_draw_fault(rng, names, length_ms, kinds) for _ in range(count)]
    return sorted(faults, key=lambda fault: fault.at_ms)


def _draw_fault(
    rng: random.Random, names: tuple[str, ...], length_ms: float, kinds: tuple[FaultKind, ...]
) -> Fault:
    kind = rng.choice(kinds)
    target_count = 2 if kind in (FaultKind.LINK, FaultKind.FLAP) else 1
    if kind is FaultKind.PARTITION:
        target_count = rng.randint(1, (len(names) - 1) // 2)
    targets = tuple(rng.sample(names, target_count))
    amount_range = FRACTION_RANGE if kind in (FaultKind.LOSS, FaultKind.DUPLICATE) else DELAY_RANGE_MS
    amount = rng.uniform(*amount_range)
    at_ms = rng.uniform(MIN_START_MS, length_ms - END_MARGIN_MS)
    duration_ms = rng.uniform(*DURATION_RANGE_MS)
    return Fault(at_ms, duration_ms, kind, targets, round(amount, 3))


def encode_schedule(faults: list[Fault]) -> str:
    """Returns a schedule as the text of its file."""
    return tomli_w.dumps(msgspec.to_builtins(Schedule(faults)))


def load_schedule(path: Path) -> list[Fault]:
    """Reads a schedule's file; returns the faults in the order of their start.

    Raises:
        ConfigError: The file cannot be read or is not a schedule.
    """
    return sorted(load_toml(path, Schedule).fault, key=lambda fault: fault.at_ms)


def affected_pairs(fault: Fault, names: tuple[str, ...]) -> set[Pair]:
    """Returns the ordered pairs (sender, receiver) of directors whose paths a fault changes."""
    targets = fault.targets
    all_pairs = {(sender, receiver) for sender in names for receiver in names if sender != receiver}
    match fault.kind:
        case FaultKind.CUT_OUT:
            return {pair for pair in all_pairs if pair[0] == targets[0]}
        case FaultKind.CUT_IN:
            return {pair for pair in all_pairs if pair[1] == targets[0]}
        case FaultKind.PARTITION:
            return {pair for pair in all_pairs if (pair[0] in targets) != (pair[1] in targets)}
        case FaultKind.LINK:
            return {(targets[0], targets[1])}
        case FaultKind.FLAP:
            return {(targets[0], targets[1]), (targets[1], targets[0])}
        case FaultKind.LOSS | FaultKind.DUPLICATE | FaultKind.DELAY:
            return all_pairs
        case FaultKind.PAUSE | FaultKind.KILL | FaultKind.STOP:
            return set()

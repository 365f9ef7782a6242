"""Generates a run from a seed: the deployment, its traffic, and faults that may overlap."""

from __future__ import annotations

import copy
import random
from dataclasses import dataclass
from enum import Enum
from typing import Any

from gladewalk.faultnet.syscall_faults import ERRORS_BY_KIND, FaultKind, SyscallFault
from gladewalk.rehearsal.director_harness import SETTINGS, class_settings

from .history import Effect

WORDS = ("atlas", "brine", "cobalt", "delta", "ember", "fjord", "grain", "harbor", "inlet", "jetty", "kelp")
DURATION_S = 8.0
WARM_UP_S = 1.0  # no fault begins before
MIN_SYSCALL_FAULT_MS = 1_500  # system calls fail only later, when the director has started
SYSCALL_KINDS = (
    FaultKind.ACCEPT, FaultKind.SOCKET, FaultKind.CONNECT, FaultKind.WAIT, FaultKind.READ, FaultKind.WRITE,
    FaultKind.READ_SHORT, FaultKind.WRITE_SHORT, FaultKind.CLOCK_STEP,
)  # fmt: skip
SHORT_DEADLINES_FRACTION = 0.3  # of the deployments have only short deadlines
CLOCK_STEPS_MS = (3_600_000, -3_600_000, 5_000, -5_000, 700, -700)


class FaultName(Enum):
    """The faults of a run. Those of a server hit a fraction of its responses for a while."""

    RESET_HEAD = "reset_head"  # a connection reset within the head of a response
    RESET_BODY = "reset_body"
    STALL_HEAD = "stall_head"
    STALL_BODY = "stall_body"
    DRIP = "drip"  # a slow body that ends at about the attempt's deadline
    DOUBLE = "double"  # a duplicate response after the first
    GARBAGE = "garbage"
    HANG = "hang"
    ERROR = "error"
    SHED = "shed"
    LATE = "late"  # 504: the request arrived after its deadline
    SLOW = "slow"
    REFUSE = "refuse"  # the server is down
    DRAIN = "drain"  # a server is replaced
    PURGE = "purge"
    FEED_CUT = "feed_cut"  # the coordinator is down
    FEED_SILENT = "feed_silent"  # the coordinator keeps its connections open and sends nothing
    STOP = "stop"  # SIGTERM, SIGKILL at the earliest time that the platform allows, and a restart
    STOP_SERIES = "stop_series"  # several SIGHUPs and SIGTERMs in a row, and a restart
    RELOADS = "reloads"  # SIGHUPs in quick succession
    KILL = "kill"  # SIGKILL without notice, and a restart
    CROWD = "crowd"  # idle connections use up the file descriptors
    HOSTILE_CROWD = "hostile_crowd"  # connections with slow, half written or costly requests


SERVER_FAULTS = (
    FaultName.RESET_HEAD, FaultName.RESET_BODY, FaultName.STALL_HEAD, FaultName.STALL_BODY, FaultName.DRIP,
    FaultName.DOUBLE, FaultName.GARBAGE, FaultName.HANG, FaultName.ERROR, FaultName.SHED, FaultName.LATE,
    FaultName.SLOW, FaultName.REFUSE,
)  # fmt: skip
OTHER_FAULTS = (
    FaultName.DRAIN, FaultName.PURGE, FaultName.PURGE, FaultName.FEED_CUT, FaultName.FEED_SILENT,
    FaultName.STOP, FaultName.STOP, FaultName.STOP_SERIES, FaultName.RELOADS, FaultName.KILL, FaultName.CROWD,
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """One fault: when, for how long, at which server or director, and in which fraction of the responses."""

    at_s: float
    duration_s: float
    name: FaultName
    target: int
    fraction: float

    def describe(self) -> str:
        """Returns the fault in one line."""
        when = f"{self.at_s:.2f}+{self.duration_s:.2f}s"
        return f"{when} {self.name.value} at {self.target} in {self.fraction:.0%}"


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """A class of requests, as its clients see it."""

    name: str
    effect: Effect
    deadline_ms: float
    window_ms: float


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of each director: file descriptors, and memory, over which it is killed."""

    sockets: int
    memory_mb: float


LIMITS = (Limits(256, 64.0), Limits(1_024, 192.0), Limits(512, 96.0))
HOSTILE_FRACTION = 0.5  # of the runs have hostile crowds


@dataclass(frozen=True, slots=True)
class Plan:
    """The deployment, traffic and faults of one run."""

    seed: int
    director_count: int
    cache_count: int
    client_count: int
    classes: tuple[TrafficClass, ...]
    settings: dict[str, Any]
    faults: tuple[PlannedFault, ...]
    syscalls: dict[int, tuple[SyscallFault, ...]]  # by director
    duration_s: float = DURATION_S
    leaving_fraction: float = 0.05  # of the clients disconnect before the deadline of their request
    limits: Limits = LIMITS[0]

    def longest_deadline_s(self) -> float:
        """Returns the longest deadline of all classes, but at most 3 s."""
        return min(3.0, max(cls.deadline_ms for cls in self.classes) / 1000.0)


def draw_plan(seed: int, without: frozenset[int] = frozenset()) -> Plan:
    """Returns the run of a seed without the faults of these numbers; -1 stands for all system call faults."""
    rng = random.Random(seed)
    classes = _draw_classes(rng)
    director_count = rng.choice((3, 3, 4, 5, 8))
    cache_count = rng.randint(3, 7)
    client_count = 60 if rng.random() < 0.8 else 120
    faults = _draw_faults(rng, director_count, cache_count)
    syscalls = {director: _draw_syscalls(rng) for director in range(director_count) if rng.random() < 0.6}
    # Drawn from a source of their own, so that each seed keeps the faults that it had without them.
    hostile_rng = random.Random(f"hostile {seed}")
    faults = sorted([*faults, *_draw_hostile(hostile_rng, director_count)], key=lambda fault: fault.at_s)
    return Plan(
        seed,
        director_count,
        cache_count,
        client_count,
        classes,
        _settings(classes, director_count),
        tuple(fault for number, fault in enumerate(faults) if number not in without),
        syscalls if -1 not in without else {},
        limits=hostile_rng.choice(LIMITS),
    )


def _draw_classes(rng: random.Random) -> tuple[TrafficClass, ...]:
    names = rng.sample(WORDS, 3)
    write_effect = rng.choice((Effect.ONCE, Effect.BY_KEY))
    if rng.random() < SHORT_DEADLINES_FRACTION:  # then SIGKILL follows soon after SIGTERM
        return (
            TrafficClass(names[0], Effect.REPEATABLE, rng.uniform(60.0, 200.0), 0.0),
            TrafficClass(names[1], Effect.REPEATABLE, rng.uniform(60.0, 300.0), 0.0),
            TrafficClass(names[2], write_effect, rng.uniform(80.0, 300.0), rng.uniform(100.0, 600.0)),
        )
    return (
        TrafficClass(names[0], Effect.REPEATABLE, rng.choice((60.0, 150.0, 400.0, 1_200.0)), 0.0),
        TrafficClass(names[1], Effect.REPEATABLE, rng.uniform(300.0, 3_000.0), 0.0),
        TrafficClass(names[2], write_effect, rng.uniform(250.0, 2_500.0), rng.uniform(300.0, 2_500.0)),
    )


def _settings(classes: tuple[TrafficClass, ...], director_count: int) -> dict[str, Any]:
    settings: dict[str, Any] = copy.deepcopy(SETTINGS)
    settings["classes"] = [
        class_settings(
            cls.name, cls.deadline_ms / 3.0, cls.deadline_ms, cls.effect.value, window_ms=cls.window_ms
        )
        for cls in classes
    ]
    settings["n_instances"] = director_count
    settings["specifics"]["instances_by_zone"] = [0, director_count]
    settings["specifics"]["uncached"] = [cls.effect is not Effect.REPEATABLE for cls in classes]
    settings["specifics"]["lifetime_by_class_ms"] = [20_000.0, 20_000.0, 0.0]
    return settings


def _draw_faults(rng: random.Random, director_count: int, cache_count: int) -> list[PlannedFault]:
    faults = []
    for _ in range(rng.randint(4, 9)):
        begin_s = rng.uniform(WARM_UP_S, DURATION_S - 1.5)
        target = rng.randrange(cache_count + 2)  # the last two are the parent and the origin
        duration_s = rng.choice((0.5, 1.5, 4.0))
        faults.append(
            PlannedFault(begin_s, duration_s, rng.choice(SERVER_FAULTS), target, rng.uniform(0.1, 1.0))
        )
    for _ in range(rng.randint(2, 5)):
        begin_s, name = rng.uniform(WARM_UP_S, DURATION_S - 2.0), rng.choice(OTHER_FAULTS)
        target = rng.randrange(max(director_count, cache_count))
        faults.append(PlannedFault(begin_s, rng.choice((0.5, 2.0, 4.0)), name, target, rng.random()))
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_hostile(rng: random.Random, director_count: int) -> list[PlannedFault]:
    if rng.random() >= HOSTILE_FRACTION:
        return []
    faults = []
    for _ in range(rng.randint(1, 3)):
        begin_s, target = rng.uniform(WARM_UP_S, DURATION_S - 2.0), rng.randrange(director_count)
        faults.append(
            PlannedFault(begin_s, rng.choice((0.5, 2.0)), FaultName.HOSTILE_CROWD, target, rng.random())
        )
        if rng.random() < 0.3:  # SIGKILL in series, as in report 6c5607
            faults.append(PlannedFault(begin_s + 0.4, 0.5, FaultName.KILL, target, 0.0))
    return faults


def _draw_syscalls(rng: random.Random) -> tuple[SyscallFault, ...]:
    syscall_faults = []
    for _ in range(rng.randint(1, 4)):
        kind = rng.choice(SYSCALL_KINDS)
        begin_ms = rng.randint(MIN_SYSCALL_FAULT_MS, int(DURATION_S * 1000))
        if kind is FaultKind.CLOCK_STEP:
            end_ms = begin_ms + rng.choice((300, 2_000, 600_000))
            syscall_faults.append(SyscallFault(begin_ms, end_ms, kind, rng.choice(CLOCK_STEPS_MS)))
            continue
        number = rng.choice(ERRORS_BY_KIND.get(kind, (0,)))
        end_ms = begin_ms + rng.choice((50, 400, 1_500))
        syscall_faults.append(SyscallFault(begin_ms, end_ms, kind, number, rng.choice((5, 30, 80))))
    return tuple(syscall_faults)

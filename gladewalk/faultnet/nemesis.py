"""Plays a schedule of faults to a `Fleet`: signals to its processes, effects on its network paths."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager

from .fleet import Fleet
from .relay import NetworkPath, PathEffect
from .schedule import Fault, FaultKind, affected_pairs


def path_effect(fault: Fault) -> PathEffect:
    """Returns what a fault does to each path that it is on."""
    match fault.kind:
        case FaultKind.LOSS:
            return PathEffect(loss_rate=fault.amount)
        case FaultKind.DUPLICATE:
            return PathEffect(duplicate_rate=fault.amount)
        case FaultKind.DELAY:
            return PathEffect(delay_ms=fault.amount, jitter_ms=fault.amount)
        case _:
            return PathEffect(is_cut=True)


@contextmanager
def _effect_in_force(paths: list[NetworkPath], effect: PathEffect) -> Iterator[None]:
    for path in paths:
        path.effects.append(effect)
    try:
        yield
    finally:
        for path in paths:
            path.effects.remove(effect)


async def _disturb_paths(fleet: Fleet, fault: Fault) -> None:
    paths, effect = fleet.select_paths(affected_pairs(fault, fleet.names)), path_effect(fault)
    if fault.kind is FaultKind.FLAP:
        await _flap_paths(paths, effect, fault)
        return
    with _effect_in_force(paths, effect):
        await asyncio.sleep(fault.duration_ms / 1000.0)


async def _flap_paths(paths: list[NetworkPath], effect: PathEffect, fault: Fault) -> None:
    """Cuts and restores the paths in turns of `amount` ms, until the fault's end."""
    end_s = time.monotonic() + fault.duration_ms / 1000.0
    half_period_s = fault.amount / 1000.0
    while (left_s := end_s - time.monotonic()) > 0.0:
        with _effect_in_force(paths, effect):
            await asyncio.sleep(min(half_period_s, left_s))
        await asyncio.sleep(min(half_period_s, max(0.0, end_s - time.monotonic())))


async def inject_fault(fleet: Fleet, fault: Fault) -> None:
    """Plays one fault from now to its end."""
    match fault.kind:
        case FaultKind.PAUSE:
            fleet.signal(fault.targets[0], signal.SIGSTOP)
        case FaultKind.KILL:
            await fleet.kill(fault.targets[0])
        case FaultKind.STOP:
            await fleet.stop(fault.targets[0])
    await _disturb_paths(fleet, fault)
    match fault.kind:
        case FaultKind.PAUSE:
            fleet.signal(fault.targets[0], signal.SIGCONT)
        case FaultKind.KILL | FaultKind.STOP:
            await fleet.start(fault.targets[0])


async def run_schedule(fleet: Fleet, faults: list[Fault]) -> None:
    """Plays every fault at its time from now; returns when the last is over."""
    started_s = time.monotonic()

    async def play_in_time(fault: Fault) -> None:
        await asyncio.sleep(max(0.0, fault.at_ms / 1000.0 - (time.monotonic() - started_s)))
        await inject_fault(fleet, fault)

    await asyncio.gather(*(play_in_time(fault) for fault in faults))

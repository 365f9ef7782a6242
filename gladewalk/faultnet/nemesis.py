"""Runs a schedule of faults against a `Fleet`: signals to its processes, effects on its network paths."""

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
    """Returns the effect of a fault on each path that it changes."""
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
def _apply_effect(paths: list[NetworkPath], effect: PathEffect) -> Iterator[None]:
    for path in paths:
        path.effects.append(effect)
    try:
        yield
    finally:
        for path in paths:
            path.effects.remove(effect)


async def _affect_paths(fleet: Fleet, fault: Fault) -> None:
    paths, effect = fleet.select_paths(affected_pairs(fault, fleet.names)), path_effect(fault)
    if fault.kind is FaultKind.FLAP:
        await _flap_paths(paths, effect, fault)
        return
    with _apply_effect(paths, effect):
        await asyncio.sleep(fault.duration_ms / 1000.0)


async def _flap_paths(paths: list[NetworkPath], effect: PathEffect, fault: Fault) -> None:
    """Cuts and restores the paths alternately, for `amount` ms each, until the fault's end."""
    end_s = time.monotonic() + fault.duration_ms / 1000.0
    half_period_s = fault.amount / 1000.0
    while (remaining_s := end_s - time.monotonic()) > 0.0:
        with _apply_effect(paths, effect):
            await asyncio.sleep(min(half_period_s, remaining_s))
        await asyncio.sleep(min(half_period_s, max(0.0, end_s - time.monotonic())))


async def inject_fault(fleet: Fleet, fault: Fault) -> None:
    """Injects one fault now; returns at its end."""
    match fault.kind:
        case FaultKind.PAUSE:
            fleet.signal(fault.targets[0], signal.SIGSTOP)
        case FaultKind.KILL:
            await fleet.kill(fault.targets[0])
        case FaultKind.STOP:
            await fleet.stop(fault.targets[0])
    await _affect_paths(fleet, fault)
    match fault.kind:
        case FaultKind.PAUSE:
            fleet.signal(fault.targets[0], signal.SIGCONT)
        case FaultKind.KILL | FaultKind.STOP:
            await fleet.start(fault.targets[0])


async def run_schedule(fleet: Fleet, faults: list[Fault]) -> None:
    """Injects every fault at its time, counted from now; returns when all have ended."""
    started_s = time.monotonic()

    async def inject_at_time(fault: Fault) -> None:
        await asyncio.sleep(max(0.0, fault.at_ms / 1000.0 - (time.monotonic() - started_s)))
        await inject_fault(fleet, fault)

    await asyncio.gather(*(inject_at_time(fault) for fault in faults))

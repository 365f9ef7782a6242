"""A schedule of faults played against a `Fleet`: signals to its processes, effects on its paths."""

from __future__ import annotations

import asyncio
import signal
import time

from .fleet import Fleet
from .relay import Effect, Path
from .schedule import Fault, pairs_of


def effect_of(fault: Fault) -> Effect:
    if fault.kind == "loss":
        return Effect(loss=fault.amount)
    if fault.kind == "double":
        return Effect(double=fault.amount)
    if fault.kind == "delay":
        return Effect(delay_ms=fault.amount, jitter_ms=fault.amount)
    return Effect(cut=True)


async def hold(paths: list[Path], effect: Effect, for_s: float) -> None:
    """One effect on some paths, for so long."""
    for path in paths:
        path.effects.append(effect)
    await asyncio.sleep(for_s)
    for path in paths:
        path.effects.remove(effect)


async def apply(fleet: Fleet, fault: Fault) -> None:
    """One fault, from its start to its end."""
    name = fault.who[0] if fault.who else ""
    if fault.kind == "pause":
        fleet.signal(name, signal.SIGSTOP)
    elif fault.kind == "kill":
        await fleet.kill(name)
    elif fault.kind == "stop":
        await fleet.stop(name)
    paths, ends = fleet.paths(pairs_of(fault, fleet.names)), time.monotonic() + fault.ms / 1000.0
    if fault.kind == "flap":
        half_s = fault.amount / 1000.0
        while (left_s := ends - time.monotonic()) > 0.0:
            await hold(paths, effect_of(fault), min(half_s, left_s))
            await asyncio.sleep(min(half_s, max(0.0, ends - time.monotonic())))
    else:
        await hold(paths, effect_of(fault), fault.ms / 1000.0)
    if fault.kind == "pause":
        fleet.signal(name, signal.SIGCONT)
    elif fault.kind in ("kill", "stop"):
        await fleet.start(name)


async def play(fleet: Fleet, faults: list[Fault]) -> None:
    """Every fault at its time from now; returns when the last is over."""
    began = time.monotonic()

    async def one(fault: Fault) -> None:
        await asyncio.sleep(max(0.0, fault.at_ms / 1000.0 - (time.monotonic() - began)))
        await apply(fleet, fault)

    await asyncio.gather(*(one(fault) for fault in faults))

"""A seeded schedule of faults, kept as TOML, and its playing against a `Fleet`.

    [[fault]]
    at_ms = 3000.0      # from the start of the play
    ms = 2500.0         # how long it lasts
    kind = "pause"      # see KINDS
    who = ["n0"]
    amount = 0.3        # loss, double: the part concerned; delay: ms, with as much jitter; flap: ms a half

    pause       SIGSTOP, then SIGCONT          cut_out    it hears all, nobody hears it
    kill        SIGKILL, then a start          cut_in     all hear it, it hears nobody
    stop        SIGTERM, then a start          link       from the first of `who` to the second, one way
    partition   `who` against the others       flap       the same, both ways, cut and whole by turns
    loss, double, delay   on every path

The same seed gives the same schedule. Faults may overlap: each ends by itself.
"""

from __future__ import annotations

import asyncio
import random
import signal
import time
import tomllib
from dataclasses import asdict, dataclass
from pathlib import Path

import tomli_w

from .fleet import Fleet, Pair
from .relay import Effect

KINDS = ("pause", "kill", "stop", "cut_out", "cut_in", "partition", "loss", "delay")
LINKS = ("link", "flap", "double")


@dataclass(slots=True, frozen=True)
class Fault:
    at_ms: float
    ms: float
    kind: str
    who: tuple[str, ...]
    amount: float = 0.0


def generate(seed: int, names: tuple[str, ...], length_ms: float, count: int,
             kinds: tuple[str, ...] = KINDS) -> list[Fault]:  # fmt: skip
    rng = random.Random(seed)
    faults = []
    for _ in range(count):
        kind = rng.choice(kinds)
        concerned = 2 if kind in ("link", "flap") else 1
        if kind == "partition":
            concerned = rng.randint(1, (len(names) - 1) // 2)
        who = tuple(rng.sample(names, concerned))
        amount = rng.uniform(0.05, 0.3) if kind in ("loss", "double") else rng.uniform(20.0, 200.0)
        faults.append(Fault(rng.uniform(2_000.0, length_ms - 4_000.0), rng.uniform(500.0, 3_000.0), kind, who,
                            round(amount, 3)))  # fmt: skip
    return sorted(faults, key=lambda fault: fault.at_ms)


def dump(faults: list[Fault]) -> str:
    return tomli_w.dumps({"fault": [{**asdict(fault), "who": list(fault.who)} for fault in faults]})


def load(path: Path) -> list[Fault]:
    """A schedule from its file; `KeyError`, `TypeError` or `ValueError` for one that is no schedule."""
    table = tomllib.loads(path.read_text(encoding="utf-8"))
    faults = [Fault(float(f["at_ms"]), float(f["ms"]), str(f["kind"]), tuple(map(str, f["who"])),
                    float(f.get("amount", 0.0))) for f in table.get("fault", [])]  # fmt: skip
    if unknown := {fault.kind for fault in faults} - {*KINDS, *LINKS}:
        raise ValueError(f"no such kind of fault: {sorted(unknown)}")
    return sorted(faults, key=lambda fault: fault.at_ms)


def pairs_of(fleet: Fleet, fault: Fault) -> set[Pair]:
    """The paths that a fault is on."""
    who = fault.who
    match fault.kind:
        case "cut_out":
            return fleet.cut_out(who[0])
        case "cut_in":
            return fleet.cut_in(who[0])
        case "partition":
            return fleet.parted(who)
        case "link":
            return {(who[0], who[1])}
        case "flap":
            return {(who[0], who[1]), (who[1], who[0])}
        case "loss" | "double" | "delay":
            return fleet.every()
    return set()


def effect_of(fault: Fault) -> Effect:
    if fault.kind == "loss":
        return Effect(loss=fault.amount)
    if fault.kind == "double":
        return Effect(double=fault.amount)
    if fault.kind == "delay":
        return Effect(delay_ms=fault.amount, jitter_ms=fault.amount)
    return Effect(cut=True)


async def apply(fleet: Fleet, fault: Fault) -> None:
    """One fault, from its start to its end."""
    name = fault.who[0] if fault.who else ""
    if fault.kind == "pause":
        fleet.signal(name, signal.SIGSTOP)
    elif fault.kind == "kill":
        await fleet.kill(name)
    elif fault.kind == "stop":
        await fleet.stop(name)
    paths, effect = fleet.paths(pairs_of(fleet, fault)), effect_of(fault)
    ends = time.monotonic() + fault.ms / 1000.0
    on = False
    while (left_s := ends - time.monotonic()) > 0.0 or not on:
        on = not on
        for path in paths:
            if on:
                path.effects.append(effect)
            else:
                path.effects.remove(effect)
        await asyncio.sleep(min(max(left_s, 0.0), fault.amount / 1000.0 if fault.kind == "flap" else left_s))
        if fault.kind != "flap":
            break
    if on:
        for path in paths:
            path.effects.remove(effect)
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

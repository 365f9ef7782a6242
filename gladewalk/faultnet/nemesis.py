"""A seeded schedule of faults, kept as TOML, and its playing against a `Fleet`.

    [[fault]]
    at_ms = 3000.0      # from the start of the play
    ms = 2500.0         # how long it lasts
    kind = "pause"      # pause, kill, stop, cut_out, cut_in, partition, loss, delay
    who = ["n0"]
    amount = 0.3        # loss: the part dropped; delay: ms, with as much jitter

The same seed gives the same schedule; a pause is SIGSTOP then SIGCONT, a kill SIGKILL then a start again
under the same name, a stop SIGTERM then a start again.
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

from .fleet import Fleet

KINDS = ("pause", "kill", "stop", "cut_out", "cut_in", "partition", "loss", "delay")


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
        who = tuple(rng.sample(names, rng.randint(1, (len(names) - 1) // 2) if kind == "partition" else 1))
        amount = rng.uniform(0.05, 0.3) if kind == "loss" else rng.uniform(20.0, 200.0)
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
    if unknown := {fault.kind for fault in faults} - set(KINDS):
        raise ValueError(f"no such kind of fault: {sorted(unknown)}")
    return sorted(faults, key=lambda fault: fault.at_ms)


async def apply(fleet: Fleet, fault: Fault) -> None:
    """One fault, from its start to its end."""
    pairs: set[tuple[str, str]] = set()
    if fault.kind == "pause":
        fleet.signal(fault.who[0], signal.SIGSTOP)
    elif fault.kind in ("kill", "stop"):
        await (fleet.kill(fault.who[0]) if fault.kind == "kill" else fleet.stop(fault.who[0]))
    elif fault.kind == "cut_out":
        pairs = fleet.cut_out(fault.who[0])
    elif fault.kind == "cut_in":
        pairs = fleet.cut_in(fault.who[0])
    elif fault.kind == "partition":
        pairs = fleet.parted(fault.who)
    paths = fleet.paths(pairs if pairs else fleet.every() if fault.kind in ("loss", "delay") else set())
    for path in paths:
        if fault.kind == "loss":
            path.path.loss = fault.amount
        elif fault.kind == "delay":
            path.path.delay_ms = path.path.jitter_ms = fault.amount
        else:
            path.path.cut = True
    await asyncio.sleep(fault.ms / 1000.0)
    for path in paths:
        path.path.cut, path.path.loss, path.path.delay_ms, path.path.jitter_ms = False, 0.0, 0.0, 0.0
    if fault.kind == "pause":
        fleet.signal(fault.who[0], signal.SIGCONT)
    elif fault.kind in ("kill", "stop"):
        await fleet.start(fault.who[0])


async def play(fleet: Fleet, faults: list[Fault]) -> None:
    """Every fault at its time from now; returns when the last is over."""
    began = time.monotonic()

    async def one(fault: Fault) -> None:
        await asyncio.sleep(max(0.0, fault.at_ms / 1000.0 - (time.monotonic() - began)))
        await apply(fleet, fault)

    await asyncio.gather(*(one(fault) for fault in faults))

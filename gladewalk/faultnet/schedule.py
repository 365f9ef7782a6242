"""A seeded schedule of faults, kept as TOML: `nemesis` plays it against processes, rehearsals in memory.

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

import random
import tomllib
from dataclasses import asdict, dataclass
from pathlib import Path

import tomli_w

KINDS = ("pause", "kill", "stop", "cut_out", "cut_in", "partition", "loss", "delay")
LINKS = ("link", "flap", "double")
Pair = tuple[str, str]


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


def pairs_of(fault: Fault, names: tuple[str, ...]) -> set[Pair]:
    """The ordered pairs of directors whose paths a fault is on."""
    who, every = fault.who, {(a, b) for a in names for b in names if a != b}
    match fault.kind:
        case "cut_out":
            return {(a, b) for a, b in every if a == who[0]}
        case "cut_in":
            return {(a, b) for a, b in every if b == who[0]}
        case "partition":
            return {(a, b) for a, b in every if (a in who) != (b in who)}
        case "link":
            return {(who[0], who[1])}
        case "flap":
            return {(who[0], who[1]), (who[1], who[0])}
        case "loss" | "double" | "delay":
            return every
    return set()

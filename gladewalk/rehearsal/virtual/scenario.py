"""A rehearsal's scenario as TOML: the fleet, the traffic and a timeline of faults.

    seconds = 60.0
    [fleet]
    directors = 2
    boxes = 6
    hubs = 2
    [traffic]
    per_s = 40.0
    objects = 400
    zipf = 1.0                                  # how unevenly they are asked for
    shares = { lot-video = 0.5, lot-page = 0.45, bid = 0.05 }
    [[fault]]
    at_s = 20.0
    for_s = 10.0
    kind = "silent"                             # see Kind
    who = "box-1"                               # box-N, hub-N, store; none for surge, purge and feed
    amount = 2.0                                # surge, slow: times; purge, spoil, reset: a part

Faults may overlap; each ends by itself. The same seed plays the same morning.
"""

from __future__ import annotations

import random
from pathlib import Path
from typing import Annotated, Literal, get_args

import msgspec
from msgspec import Meta

from ...config.platform import ConfigError
from ...config.toml_file import errors_in, load_toml

Kind = Literal["silent", "drain", "restart", "cut", "slow", "spoil", "reset", "surge", "purge", "feed"]
KINDS: tuple[Kind, ...] = get_args(Kind)
AT_SERVERS = ("silent", "drain", "restart", "cut", "slow", "spoil", "reset")
PARTS = ("purge", "spoil", "reset")  # whose amount is a part of the whole
GROUPS = 256
SHARES = {"lot-video": 0.5, "lot-page": 0.45, "bid": 0.05}


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file."""


class Fleet(Table, frozen=True):
    directors: Annotated[int, Meta(ge=1, le=64)] = 2
    boxes: Annotated[int, Meta(ge=1, le=400)] = 6
    hubs: Annotated[int, Meta(ge=1, le=64)] = 2
    slots: Annotated[int, Meta(ge=1, le=1_000)] = 16  # of a box: requests in work at a time
    keeps: Annotated[int, Meta(ge=1, le=1_000_000)] = 400  # parts that a box holds


class Traffic(Table, frozen=True):
    per_s: Annotated[float, Meta(gt=0.0, le=100_000.0)] = 40.0
    objects: Annotated[int, Meta(ge=1, le=10_000_000)] = 400
    zipf: Annotated[float, Meta(ge=0.0, le=3.0)] = 1.0
    shares: dict[str, Annotated[float, Meta(ge=0.0)]] = msgspec.field(default_factory=lambda: dict(SHARES))


class Fault(Table, frozen=True):
    at_s: Annotated[float, Meta(ge=0.0)]
    kind: Kind
    for_s: Annotated[float, Meta(ge=0.0)] = 5.0
    who: str = ""
    amount: Annotated[float, Meta(gt=0.0, le=100.0)] = 1.0


class Scenario(Table, frozen=True):
    seconds: Annotated[float, Meta(gt=0.0, le=86_400.0)] = 60.0
    fleet: Fleet = Fleet()
    traffic: Traffic = Traffic()
    fault: list[Fault] = []


def names_of(fleet: Fleet) -> list[str]:
    """Every server by name: boxes, hubs, the store."""
    return [f"box-{n}" for n in range(fleet.boxes)] + [f"hub-{n}" for n in range(fleet.hubs)] + ["store"]


def check(scenario: Scenario, classes: tuple[str, ...]) -> None:
    """Checks what no single key shows.

    Raises:
        ConfigError: The scenario cannot be played; the text is `key: why`.
    """
    known = names_of(scenario.fleet)
    for name in scenario.traffic.shares:
        if name not in classes:
            raise ConfigError(f"traffic.shares.{name}: no such class; there are {', '.join(classes)}")
    if not sum(scenario.traffic.shares.values()):
        raise ConfigError("traffic.shares: nothing is asked for")
    for n, fault in enumerate(scenario.fault):
        where = f"fault[{n}]"
        if fault.kind in AT_SERVERS and fault.who not in known:
            raise ConfigError(f"{where}.who: no server {fault.who!r}; there are box-N, hub-N and store")
        if fault.kind in ("drain", "restart") and not fault.who.startswith("box-"):
            raise ConfigError(f"{where}.who: only a box is drained or restarted")
        if fault.kind in PARTS and fault.amount > 1.0:
            raise ConfigError(f"{where}.amount: a part, at most 1")
        if fault.at_s + fault.for_s > scenario.seconds:
            raise ConfigError(f"{where}.for_s: it would last longer than the scenario")


def load(path: Path, classes: tuple[str, ...]) -> Scenario:
    """Loads a file; `ConfigError` with the one line `file: key: why` if it cannot be played."""
    scenario = load_toml(path, Scenario, syntax_note="")
    with errors_in(path):
        check(scenario, classes)
    return scenario


def dump(scenario: Scenario) -> str:
    import tomli_w

    return tomli_w.dumps(msgspec.to_builtins(scenario))


def draw(seed: int, seconds: float = 30.0) -> Scenario:
    """A scenario out of ranges: a small fleet with up to four faults, overlapping as they come."""
    rng = random.Random(seed)
    fleet = Fleet(directors=rng.randint(1, 3), boxes=rng.randint(3, 8), hubs=rng.randint(1, 3))
    faults = []
    for _ in range(rng.randint(1, 4)):
        kind = rng.choice(KINDS)
        names = [n for n in names_of(fleet) if n.startswith("box-") or kind not in ("drain", "restart")]
        who = rng.choice(names) if kind in AT_SERVERS else ""
        amount = rng.uniform(0.05, 1.0) if kind in PARTS else rng.uniform(1.3, 4.0)
        at_s = rng.uniform(2.0, seconds * 0.6)
        for_s = rng.uniform(1.0, seconds * 0.3)
        fault = Fault(at_s=round(at_s, 2), kind=kind, for_s=round(for_s, 2), who=who, amount=round(amount, 2))
        faults.append(fault)
    traffic = Traffic(per_s=round(rng.uniform(10.0, 50.0), 1), objects=rng.randint(50, 600))
    return Scenario(seconds=seconds, fleet=fleet, traffic=traffic, fault=sorted(faults, key=lambda f: f.at_s))

"""Scenario files (TOML): the fleet, its traffic and a timeline of faults.

    seconds = 60.0
    [fleet]
    directors = 2
    boxes = 6                                   # cache servers
    hubs = 2                                    # parent caches
    [traffic]
    per_s = 40.0
    objects = 400
    zipf = 1.0                                  # exponent of the objects' popularity
    shares = { lot-video = 0.5, lot-page = 0.45, bid = 0.05 }
    [[fault]]
    at_s = 20.0
    for_s = 10.0
    kind = "silent"                             # see ScenarioFaultKind
    who = "box-1"                               # box-N, hub-N or store; left out for surge, purge and feed
    amount = 2.0                                # surge, slow: a factor; purge, spoil, reset: a fraction

Faults may overlap; each ends after its own duration. Two runs with the same seed are identical.
"""

from __future__ import annotations

import random
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import msgspec
import tomli_w
from msgspec import Meta

from ...config.platform import ConfigError
from ...config.toml_file import load_toml, prefix_config_errors

GROUP_COUNT = 256  # purge groups
DEFAULT_CLASS_SHARES = {"lot-video": 0.5, "lot-page": 0.45, "bid": 0.05}
CACHE_PREFIX, PARENT_PREFIX, STORE_NAME = "box-", "hub-", "store"
MAX_DRAWN_FAULTS = 4


class ScenarioFaultKind(StrEnum):
    """The kinds of fault; the values are those in scenario files."""

    UNRESPONSIVE = "silent"  # the server reads requests and responds to none
    DRAIN = "drain"  # the endpoint list has the cache as draining, then as serving again
    RESTART = "restart"  # the cache stops and starts again empty
    CUT = "cut"  # no data passes to or from the server
    SLOW = "slow"  # processing takes `amount` times as long at the server
    TRUNCATE = "spoil"  # a fraction of responses is truncated in the middle
    RESET = "reset"  # a fraction of requests is processed and then reset
    SURGE = "surge"  # the request rate is multiplied by `amount`
    PURGE = "purge"  # a fraction of all purge groups is purged
    FEED = "feed"  # directors receive no data from the coordinator's feed


SERVER_FAULTS = (
    ScenarioFaultKind.UNRESPONSIVE,
    ScenarioFaultKind.DRAIN,
    ScenarioFaultKind.RESTART,
    ScenarioFaultKind.CUT,
    ScenarioFaultKind.SLOW,
    ScenarioFaultKind.TRUNCATE,
    ScenarioFaultKind.RESET,
)
CACHE_FAULTS = (ScenarioFaultKind.DRAIN, ScenarioFaultKind.RESTART)
FRACTION_FAULTS = (ScenarioFaultKind.PURGE, ScenarioFaultKind.TRUNCATE, ScenarioFaultKind.RESET)


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of a scenario file; an unknown key is an error."""


class FleetTable(Table, frozen=True, rename={"caches": "boxes", "parents": "hubs", "cache_objects": "keeps"}):
    """The number of directors and servers, and the capacity of a cache server."""

    directors: Annotated[int, Meta(ge=1, le=64)] = 2
    caches: Annotated[int, Meta(ge=1, le=400)] = 6
    parents: Annotated[int, Meta(ge=1, le=64)] = 2
    slots: Annotated[int, Meta(ge=1, le=1_000)] = 16  # requests that a cache processes at a time
    cache_objects: Annotated[int, Meta(ge=1, le=1_000_000)] = 400  # parts of objects that a cache stores


class TrafficTable(
    Table,
    frozen=True,
    rename={"requests_per_s": "per_s", "zipf_exponent": "zipf", "class_shares": "shares"},
):
    """The clients' requests: a Poisson process; the popularity of objects follows Zipf's law."""

    requests_per_s: Annotated[float, Meta(gt=0.0, le=100_000.0)] = 40.0
    objects: Annotated[int, Meta(ge=1, le=10_000_000)] = 400
    zipf_exponent: Annotated[float, Meta(ge=0.0, le=3.0)] = 1.0
    class_shares: dict[str, Annotated[float, Meta(ge=0.0)]] = msgspec.field(
        default_factory=lambda: dict(DEFAULT_CLASS_SHARES)
    )


class ScenarioFault(Table, frozen=True, rename={"duration_s": "for_s", "target": "who"}):
    """A fault that begins at `at_s` and lasts `duration_s`; `target` is a server's name or empty."""

    at_s: Annotated[float, Meta(ge=0.0)]
    kind: ScenarioFaultKind
    duration_s: Annotated[float, Meta(ge=0.0)] = 5.0
    target: str = ""
    amount: Annotated[float, Meta(gt=0.0, le=100.0)] = 1.0


class Scenario(Table, frozen=True, rename={"duration_s": "seconds", "faults": "fault"}):
    """The content of a scenario file; requests are sent for `duration_s`."""

    duration_s: Annotated[float, Meta(gt=0.0, le=86_400.0)] = 60.0
    fleet: FleetTable = FleetTable()
    traffic: TrafficTable = TrafficTable()
    faults: list[ScenarioFault] = []


def server_names(fleet: FleetTable) -> list[str]:
    """Returns the names of all servers: caches, parents, the store."""
    caches = [f"{CACHE_PREFIX}{number}" for number in range(fleet.caches)]
    parents = [f"{PARENT_PREFIX}{number}" for number in range(fleet.parents)]
    return [*caches, *parents, STORE_NAME]


def check_scenario(scenario: Scenario, class_names: tuple[str, ...]) -> None:
    """Checks constraints between several keys.

    Raises:
        ConfigError: The scenario is invalid; the text is `key: reason`.
    """
    for name in scenario.traffic.class_shares:
        if name not in class_names:
            raise ConfigError(f"traffic.shares.{name}: no such class; there are {', '.join(class_names)}")
    if not sum(scenario.traffic.class_shares.values()):
        raise ConfigError("traffic.shares: nothing is asked for")
    names = server_names(scenario.fleet)
    for number, fault in enumerate(scenario.faults):
        _check_fault(fault, f"fault[{number}]", names, scenario.duration_s)


def _check_fault(fault: ScenarioFault, where: str, names: list[str], scenario_s: float) -> None:
    if fault.kind in SERVER_FAULTS and fault.target not in names:
        raise ConfigError(f"{where}.who: no server {fault.target!r}; there are box-N, hub-N and store")
    if fault.kind in CACHE_FAULTS and not fault.target.startswith(CACHE_PREFIX):
        raise ConfigError(f"{where}.who: only a box is drained or restarted")
    if fault.kind in FRACTION_FAULTS and fault.amount > 1.0:
        raise ConfigError(f"{where}.amount: a part, at most 1")
    if fault.at_s + fault.duration_s > scenario_s:
        raise ConfigError(f"{where}.for_s: it would last longer than the scenario")


def load_scenario(path: Path, class_names: tuple[str, ...]) -> Scenario:
    """Reads and checks a scenario file.

    Args:
        path: The file.
        class_names: The request classes in the settings.

    Raises:
        ConfigError: The scenario is invalid; the text is one line, `file: key: reason`.
    """
    scenario = load_toml(path, Scenario, syntax_error_prefix="")
    with prefix_config_errors(path):
        check_scenario(scenario, class_names)
    return scenario


def encode_scenario(scenario: Scenario) -> str:
    """Returns the text of a scenario file."""
    return tomli_w.dumps(msgspec.to_builtins(scenario))


def generate_scenario(seed: int, duration_s: float = 30.0) -> Scenario:
    """Generates a small random fleet with one to four faults, which may overlap."""
    rng = random.Random(seed)
    fleet = FleetTable(directors=rng.randint(1, 3), caches=rng.randint(3, 8), parents=rng.randint(1, 3))
    faults = [_draw_fault(rng, fleet, duration_s) for _ in range(rng.randint(1, MAX_DRAWN_FAULTS))]
    requests_per_s = round(rng.uniform(10.0, 50.0), 1)
    traffic = TrafficTable(requests_per_s=requests_per_s, objects=rng.randint(50, 600))
    faults.sort(key=lambda fault: fault.at_s)
    return Scenario(duration_s=duration_s, fleet=fleet, traffic=traffic, faults=faults)


def _draw_fault(rng: random.Random, fleet: FleetTable, scenario_s: float) -> ScenarioFault:
    kind = rng.choice(tuple(ScenarioFaultKind))
    names = [
        name for name in server_names(fleet) if name.startswith(CACHE_PREFIX) or kind not in CACHE_FAULTS
    ]
    target = rng.choice(names) if kind in SERVER_FAULTS else ""
    amount = rng.uniform(0.05, 1.0) if kind in FRACTION_FAULTS else rng.uniform(1.3, 4.0)
    at_s = rng.uniform(2.0, scenario_s * 0.6)
    duration_s = rng.uniform(1.0, scenario_s * 0.3)
    return ScenarioFault(
        at_s=round(at_s, 2),
        kind=kind,
        duration_s=round(duration_s, 2),
        target=target,
        amount=round(amount, 2),
    )

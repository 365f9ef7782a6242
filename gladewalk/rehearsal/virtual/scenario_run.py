"""Runs a scenario against real directors in virtual time and checks its history against the rules."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import structlog

from ...config.platform import read_config
from ...director import Director
from ..coordinator import Coordinator
from ..director_harness import SETTINGS, config_for
from .clients import REQUEST_CLASSES, ClientTraffic
from .faults import COORDINATOR_HOST, ScenarioFaultInjector
from .loop import VirtualLoop, run_virtually
from .rules import RETRY_AFTER_STATUSES, History, ObservedRequest, Violation, find_violations
from .scenario import CACHE_PREFIX, PARENT_PREFIX, STORE_NAME, FleetTable, Scenario
from .servers import CACHE_MODEL, PARENT_MODEL, STORE_MODEL, ModelServer

HEARTBEAT_S = 1.0  # interval at which the coordinator's feed sends its last index
PARENT_COPIES_FACTOR = 10  # a parent stores this many times the parts that a cache stores
UNLIMITED_SLOTS_FACTOR = 50  # parents and the store have this many times a cache's slots
SUCCESS_STATUSES = (200, 304)

DirectorChange = Callable[[Director], None]


class Outcome(StrEnum):
    """The outcome of a request; the values are written to reports."""

    SERVED = "served"  # with success, within the class's latency objective
    LATE = "late"  # with success, after the latency objective
    REJECTED = "refused"  # status 429 or 503
    FAILED = "failed"  # any other status
    BROKEN = "broken"  # the connection ended without a complete response
    LOST = "lost"  # no response in time


def classify(request: ObservedRequest) -> Outcome:
    """Returns the outcome of a request, according to its first response."""
    if not request.responses:
        return Outcome.LOST if request.broken_at_ms is None else Outcome.BROKEN
    first = request.responses[0]
    if first.status not in SUCCESS_STATUSES:
        return Outcome.REJECTED if first.status in RETRY_AFTER_STATUSES else Outcome.FAILED
    objective_ms = float(REQUEST_CLASSES[request.class_name]["promise_ms"])
    return Outcome.LATE if first.at_ms - request.sent_at_ms > objective_ms else Outcome.SERVED


@dataclass(slots=True)
class Verdict:
    """The result of one run: violations, outcomes by class, the trace, and the history they come from."""

    violations: list[Violation]
    outcomes: dict[str, Counter[Outcome]]
    trace: str
    event_count: int
    virtual_s: float
    wall_s: float
    history: History

    @property
    def passed(self) -> bool:
        """Whether no rule is violated."""
        return not self.violations

    def report(self) -> dict[str, Any]:
        """Returns the verdict as `gladewalk play --json` prints it."""
        return {
            "passed": self.passed,
            "trace": self.trace,
            "events": self.event_count,
            "virtual_s": self.virtual_s,
            "wall_s": round(self.wall_s, 2),
            "outcomes": {
                name: dict(sorted(counts.items())) for name, counts in sorted(self.outcomes.items())
            },
            "broken": [
                {"rule": one.rule, "request": one.request_id, "at_ms": round(one.at_ms, 1), "why": one.reason}
                for one in self.violations
            ],
        }


class ScenarioRun:
    """One run of a scenario.

    Args:
        loop: Provides virtual time, the network and the random numbers of the seed.
        scenario: The scenario to run.
        change: Applied to every director before it starts; tests use it to break the director.
        settings: The platform's settings.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        scenario: Scenario,
        change: DirectorChange | None = None,
        settings: Mapping[str, Any] | None = None,
    ) -> None:
        self._loop, self._scenario, self._change = loop, scenario, change
        self._settings = settings or SETTINGS
        self._history = History()
        self._rng = random.Random(loop.random.random())
        self._coordinator = Coordinator()
        self._servers: dict[str, ModelServer] = {}
        self._directors: dict[str, Director] = {}
        self._traffic = ClientTraffic(loop, scenario, self._directors, self._history, self._rng)

    async def run(self) -> Verdict:
        """Starts the fleet, runs traffic and faults to their ends, and checks the history."""
        started_s = time.perf_counter()
        await self._start_servers()
        await self._start_directors()
        injector = ScenarioFaultInjector(
            self._loop,
            self._servers,
            list(self._directors),
            self._coordinator,
            self._traffic,
            self._history,
            self._rng,
        )
        faults = [asyncio.ensure_future(injector.inject(fault)) for fault in self._scenario.faults]
        heartbeat = asyncio.ensure_future(self._send_heartbeats())
        await self._traffic.run()
        await asyncio.gather(*faults)
        heartbeat.cancel()
        return Verdict(
            violations=find_violations(self._history),
            outcomes=self._count_outcomes(),
            trace=self._loop.trace(),
            event_count=self._loop.event_count,
            virtual_s=self._loop.time(),
            wall_s=time.perf_counter() - started_s,
            history=self._history,
        )

    async def _start_servers(self) -> None:
        fleet = self._scenario.fleet
        for number in range(fleet.caches):
            host = f"10.2.{number // 250}.{number % 250 + 1}"
            await self._start_server(f"{CACHE_PREFIX}{number}", CACHE_MODEL, host, fleet)
        for number in range(fleet.parents):
            host = f"10.3.{number // 250}.{number % 250 + 1}"
            await self._start_server(f"{PARENT_PREFIX}{number}", PARENT_MODEL, host, fleet)
        await self._start_server(STORE_NAME, STORE_MODEL, "10.4.0.1", fleet)

    async def _start_server(self, name: str, model: str, host: str, fleet: FleetTable) -> None:
        server = self._servers[name] = ModelServer(
            name,
            model,
            host,
            fleet.slots * (1 if model == CACHE_MODEL else UNLIMITED_SLOTS_FACTOR),
            fleet.cache_objects * (PARENT_COPIES_FACTOR if model == PARENT_MODEL else 1),
            self._servers,
            self._history,
            self._loop.unix_ms,
            random.Random(self._rng.random()),
        )
        await self._loop.run_as(name, server.stand_in.start())

    async def _start_directors(self) -> None:
        await self._loop.run_as(COORDINATOR_HOST, self._coordinator.start())
        stand_ins = [server.stand_in for server in self._servers.values()]
        shared = config_for(stand_ins, self._coordinator, self._settings)
        for number in range(self._scenario.fleet.directors):
            name = f"director-{number}"
            own = {
                "name": name,
                "listen": f"10.1.0.{number + 1}:7001",
                "seed": f"{self._rng.getrandbits(32):x}",
            }
            config = read_config({**shared, **own}, {})
            director = Director(config, self._loop, environment=self._loop.environment())
            if self._change is not None:
                self._change(director)
            self._directors[name] = director
            await self._loop.run_as(name, director.start())

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._coordinator.send_raw(b"%d\n" % len(self._coordinator.events))

    def _count_outcomes(self) -> dict[str, Counter[Outcome]]:
        outcomes: dict[str, Counter[Outcome]] = {}
        for request in self._history.requests.values():
            outcomes.setdefault(request.class_name, Counter())[classify(request)] += 1
        return outcomes


@contextmanager
def _silenced_logs() -> Iterator[None]:
    """Turns off log messages below `critical` meanwhile; a run reports by its verdict alone."""
    configuration = structlog.get_config()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    try:
        yield
    finally:
        structlog.configure(**configuration)


def run_scenario(
    scenario: Scenario,
    seed: int,
    change: DirectorChange | None = None,
    settings: Mapping[str, Any] | None = None,
) -> Verdict:
    """Runs a scenario without a log; `change` and `settings` alter the directors (see `ScenarioRun`)."""
    with _silenced_logs():
        return run_virtually(seed, lambda loop: ScenarioRun(loop, scenario, change, settings).run())[0]

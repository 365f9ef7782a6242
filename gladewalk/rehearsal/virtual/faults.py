"""Injects a scenario's faults into servers, the network, the traffic and the coordinator's feed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from ..coordinator import Coordinator
from .clients import ClientTraffic
from .loop import VirtualLoop
from .network import Pair
from .rules import DrainPeriod, History, PublishedPurge
from .scenario import GROUP_COUNT, ScenarioFault, ScenarioFaultKind
from .servers import MAX_PURGE_DELAY_S, ModelServer

FEED_RECOVERY_MS = 7_000.0  # delay after which an event published during a feed cut counts as known
COORDINATOR_HOST = "coordinator"


class ScenarioFaultInjector:
    """Begins and ends the faults of one run.

    Args:
        loop: The run's event loop, with its network.
        servers: The fleet's servers by name.
        director_names: The fleet's directors.
        coordinator: Publishes drains, restarts and purges.
        traffic: The clients' traffic, whose rate surges multiply.
        history: Records drains and purges.
        rng: Draws the groups of a purge and when each server carries it out.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        servers: Mapping[str, ModelServer],
        director_names: list[str],
        coordinator: Coordinator,
        traffic: ClientTraffic,
        history: History,
        rng: random.Random,
    ) -> None:
        self._loop, self._servers, self._director_names = loop, servers, director_names
        self._coordinator, self._traffic = coordinator, traffic
        self._history, self._rng = history, rng
        self._feed_cuts = 0

    async def inject(self, fault: ScenarioFault) -> None:
        """Waits until the fault's time, begins it, and ends it after its duration."""
        await asyncio.sleep(fault.at_s)
        match fault.kind:
            case ScenarioFaultKind.SURGE:
                self._traffic.surge_factor *= fault.amount
                await asyncio.sleep(fault.duration_s)
                self._traffic.surge_factor /= fault.amount
            case ScenarioFaultKind.PURGE:
                self._purge(fault.amount)
            case ScenarioFaultKind.FEED:
                await self._cut_feed(fault.duration_s)
            case ScenarioFaultKind.CUT:
                hosts = [*self._director_names, *self._servers]
                pairs = [pair for host in hosts for pair in ((fault.target, host), (host, fault.target))]
                with self._cut(pairs):
                    await asyncio.sleep(fault.duration_s)
            case _:
                await self._inject_at_server(fault, self._servers[fault.target])

    async def _inject_at_server(self, fault: ScenarioFault, server: ModelServer) -> None:
        match fault.kind:
            case ScenarioFaultKind.UNRESPONSIVE:
                server.unresponsive_count += 1
                await asyncio.sleep(fault.duration_s)
                server.unresponsive_count -= 1
            case ScenarioFaultKind.SLOW:
                server.slowdown *= fault.amount
                await asyncio.sleep(fault.duration_s)
                server.slowdown /= fault.amount
            case ScenarioFaultKind.TRUNCATE:
                server.truncation_rate += fault.amount
                await asyncio.sleep(fault.duration_s)
                server.truncation_rate = max(0.0, server.truncation_rate - fault.amount)
            case ScenarioFaultKind.RESET:
                server.reset_rate += fault.amount
                await asyncio.sleep(fault.duration_s)
                server.reset_rate = max(0.0, server.reset_rate - fault.amount)
            case ScenarioFaultKind.DRAIN:
                await self._drain(server, fault.duration_s)
            case ScenarioFaultKind.RESTART:
                server.crash()
                await asyncio.sleep(fault.duration_s)
                await self._loop.run_as(server.name, server.restart())
                self._coordinator.publish_endpoints(server.stand_in)

    async def _drain(self, server: ModelServer, duration_s: float) -> None:
        server.stand_in.state = "DRAINING"
        self._coordinator.publish_endpoints(server.stand_in)
        self._history.drains[server.name] = DrainPeriod(self._effective_ms())
        await asyncio.sleep(duration_s)
        server.stand_in.state = "SERVING"
        published_at_ms = self._history.drains[server.name].published_at_ms
        self._history.drains[server.name] = DrainPeriod(published_at_ms, self._loop.unix_ms())
        self._coordinator.publish_endpoints(server.stand_in)

    def _effective_ms(self) -> float:
        """Returns the time at which an event that is published now counts as known to the directors."""
        return self._loop.unix_ms() + (FEED_RECOVERY_MS if self._feed_cuts else 0.0)

    async def _cut_feed(self, duration_s: float) -> None:
        self._feed_cuts += 1
        with self._cut([(COORDINATOR_HOST, name) for name in self._director_names]):
            await asyncio.sleep(duration_s)
        self._feed_cuts -= 1

    @contextmanager
    def _cut(self, pairs: list[Pair]) -> Iterator[None]:
        """Cuts these directions of the network while the context is active."""
        cut_counts = self._loop.network.cut_counts
        for pair in pairs:
            cut_counts[pair] += 1
        try:
            yield
        finally:
            for pair in pairs:
                cut_counts[pair] -= 1

    def _purge(self, fraction: float) -> None:
        """Purges a fraction of all groups.

        The purges are published at once; each server carries one out after a random delay of its own.
        """
        for group in self._rng.sample(range(GROUP_COUNT), max(1, round(fraction * GROUP_COUNT))):
            now_ms = self._loop.unix_ms()
            self._coordinator.publish(evict={"shard": group, "unix_ms": now_ms})
            self._history.purges.append(PublishedPurge(self._effective_ms(), group, now_ms))
            for server in self._servers.values():
                delay_s = self._rng.uniform(0.0, MAX_PURGE_DELAY_S)
                self._loop.call_later(delay_s, server.purge, group, now_ms)

"""Test case for fleets of directors that run as processes on loopback."""

import asyncio
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

from gladewalk.faultnet.fleet import Fleet
from gladewalk.leases.history import Verdict
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for
from gladewalk.rehearsal.scripted_servers import StandInServer

SETTLE_S = 8.0  # time to elect holders: new directors deny votes for a promise time, and votes may split
POLL_INTERVAL_S = 0.05


def unix_now_ms() -> float:
    return time.time() * 1000.0


async def wait_until_true(is_true: Callable[[], bool], within_s: float = SETTLE_S) -> bool:
    """Waits for a condition; returns whether it became true in time."""
    end_s = time.monotonic() + within_s
    while not is_true():
        if time.monotonic() > end_s:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return True


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a coordinator, a folder and, on request, a fleet, and removes them after the test."""

    async def asyncSetUp(self) -> None:
        self.coordinator = await Coordinator().start()
        self.folder = tempfile.TemporaryDirectory()
        self.fleet: Fleet | None = None

    async def asyncTearDown(self) -> None:
        if self.fleet is not None:
            await self.fleet.close()
        self.coordinator.stop()
        self.folder.cleanup()

    async def start_fleet(
        self,
        director_count: int,
        leases: dict[str, Any] | None,
        members: dict[str, Any] | None = None,
        clock_rates: dict[str, float] | None = None,
        servers: tuple[StandInServer[Any], ...] = (),
        extra_tables: dict[str, Any] | None = None,
    ) -> Fleet:
        """Starts directors `n0`, `n1`, ... (see `Fleet`); the number of directors is the seed."""
        names = tuple(f"n{number}" for number in range(director_count))
        config = config_for(servers, self.coordinator)
        folder = Path(self.folder.name)
        self.fleet = await Fleet(folder, names, config, director_count, leases, members, extra_tables).open()
        for name in names:
            await self.fleet.start(name, (clock_rates or {}).get(name, 1.0))
        return self.fleet

    async def start_lease_fleet(
        self,
        director_count: int,
        clock_rates: dict[str, float] | None = None,
        servers: tuple[StandInServer[Any], ...] = (),
    ) -> Fleet:
        """Starts a fleet with leases, and waits until the purge lease is held."""
        fleet = await self.start_fleet(director_count, {}, clock_rates=clock_rates, servers=servers)
        await self.wait_for_holder(unix_now_ms())
        return fleet

    async def wait_for_holder(self, since_ms: float, within_s: float = SETTLE_S) -> str:
        """Waits for an accepted operation under the purge lease after `since_ms`; returns its holder.

        The name is empty if there was no such operation in time.
        """
        end_s = time.monotonic() + within_s
        while time.monotonic() < end_s:
            records = self._running().hubs[0].fence.records
            later = [record for record in records if record.is_accepted and record.received_at_ms > since_ms]
            if later:
                return later[-1].holder
            await asyncio.sleep(POLL_INTERVAL_S)
        return ""

    def verdict(self) -> Verdict:
        return self._running().verdict()

    def holders_between(self, after_ms: float, before_ms: float) -> set[str]:
        """The holders whose operations under the purge lease were accepted between two times."""
        operations = self._running().hubs[0].fence.records
        return {
            operation.holder
            for operation in operations
            if operation.is_accepted and after_ms < operation.received_at_ms < before_ms
        }

    def _running(self) -> Fleet:
        assert self.fleet is not None, "the test has not started a fleet"
        return self.fleet

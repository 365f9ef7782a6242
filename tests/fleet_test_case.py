"""Fleets of directors as processes, for tests: started, asked and checked on loopback."""

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

SETTLE_S = 8.0  # at most, until each lease is held: a start is quiet for a promise, then votes may split


def wall_ms() -> float:
    return time.time() * 1000.0


async def until_true(true: Callable[[], bool], within_s: float = SETTLE_S) -> bool:
    """Whether it comes to hold in time."""
    ends = time.monotonic() + within_s
    while not true():
        if time.monotonic() > ends:
            return False
        await asyncio.sleep(0.05)
    return True


class Fleets(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.coordinator = await Coordinator().start()
        self.folder = tempfile.TemporaryDirectory()
        self.fleet: Fleet | None = None

    async def asyncTearDown(self) -> None:
        if self.fleet is not None:
            await self.fleet.close()
        self.coordinator.stop()
        self.folder.cleanup()

    async def begin(
        self, n: int, leases: dict[str, Any] | None, members: dict[str, Any] | None = None,
        rates: dict[str, float] | None = None, peers: tuple[StandInServer[Any], ...] = (),
        more: dict[str, Any] | None = None,
    ) -> Fleet:  # fmt: skip
        names, config = tuple(f"n{i}" for i in range(n)), config_for(peers, self.coordinator)
        self.fleet = await Fleet(Path(self.folder.name), names, config, n, leases, members, more).open()
        for name in names:
            await self.fleet.start(name, (rates or {}).get(name, 1.0))
        return self.fleet

    async def start(
        self, n: int, rates: dict[str, float] | None = None, peers: tuple[StandInServer[Any], ...] = ()
    ) -> Fleet:
        """With leases, once the purge lease is held."""
        fleet = await self.begin(n, {}, rates=rates, peers=peers)
        await self.held_since(wall_ms())
        return fleet

    async def held_since(self, since_ms: float, within_s: float = SETTLE_S) -> str:
        """Who operates under the purge lease after `since_ms`, waiting at most so long; '' if nobody does."""
        assert self.fleet is not None
        ends = time.monotonic() + within_s
        while time.monotonic() < ends:
            late = [
                a for a in self.fleet.hubs[0].fence.records if a.is_accepted and a.received_at_ms > since_ms
            ]
            if late:
                return late[-1].holder
            await asyncio.sleep(0.05)
        return ""

    def verdict(self) -> Verdict:
        assert self.fleet is not None
        return self.fleet.verdict()

    def actors(self, after_ms: float, before_ms: float) -> set[str]:
        assert self.fleet is not None
        acts = self.fleet.hubs[0].fence.records
        return {a.holder for a in acts if a.is_accepted and after_ms < a.received_at_ms < before_ms}

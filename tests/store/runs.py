"""Runs of a director with a store in tests: each is killed, and the next one starts on the same folder."""

from __future__ import annotations

import asyncio
import dataclasses
from pathlib import Path
from types import TracebackType
from typing import Any, Self

from gladewalk.config.options import Options, build_options, read_option_tables
from gladewalk.config.platform import PlatformConfig, read_config
from gladewalk.director import Director
from gladewalk.registry.records import ServerRecord
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for, wait_until

Target = dict[str, Any]


def target(uid: str, state: str = "SERVING", **changes: Any) -> Target:
    """Returns an entry of the endpoint list; its address is of loopback and nobody listens there."""
    return {
        "uid": uid, "endpoint": f"127.0.4.{int(uid[1:]) + 1}:9", "az": "edge-1", "model": "standard",
        "pod_group": 0, "state": state, "capacity_hint": 8.0, "boot_ms": 0.0, **changes,
    }  # fmt: skip


class StoredRuns:
    """The runs of one director and its coordinators; `async with` ends all of them."""

    def __init__(self, folder: Path, **store: Any) -> None:
        tables = {"store": {"folder": "store", "warm_ms": 0.0, **store}}
        self.options: Options = build_options(read_option_tables(tables), "t.toml", folder)
        self.coordinators: list[Coordinator] = []
        self.directors: list[Director] = []
        self._start_count = 0

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for director in list(self.directors):
            self.kill(director)
        for coordinator in self.coordinators:
            coordinator.stop()

    async def coordinator_with(self, *targets: Target) -> Coordinator:
        """Starts a coordinator, which counts its events from 1; the first has these servers."""
        coordinator = await Coordinator().start()
        coordinator.publish(endpoints={"rev": 1, "all": True, "targets": list(targets)})
        self.coordinators.append(coordinator)
        return coordinator

    def new_configuration(self, coordinator: Coordinator) -> PlatformConfig:
        """Returns the configuration of a new start: it has the events so far, and another seed each time."""
        self._start_count += 1
        raw = config_for([], coordinator)
        raw["known"]["updates"] = list(coordinator.events)
        return read_config({**raw, "seed": f"{self._start_count:x}"}, {})

    async def start(self, config: PlatformConfig) -> Director:
        """Starts a director on the folder."""
        director = Director(config, asyncio.get_running_loop(), None, self.options)
        self.directors.append(director)
        await director.start()
        return director

    async def start_anew(self, *targets: Target) -> tuple[Director, Coordinator]:
        """Starts a director with a new configuration, whose coordinator lists these servers."""
        coordinator = await self.coordinator_with(*targets)
        return await self.start(self.new_configuration(coordinator)), coordinator

    async def kill_when_stored(self, director: Director) -> None:
        """Ends a director, without notice, once everything that it has taken is durable."""
        assert director.persistence is not None
        log = director.persistence.log
        await wait_until(lambda: log.durable_sequence == log.index.last_sequence)
        self.kill(director)

    def kill(self, director: Director) -> None:
        """Ends a director without notice: nothing more is written."""
        if director not in self.directors:
            return
        self.directors.remove(director)
        director.front.close()
        director.coordinator_watch.close()
        assert director.persistence is not None
        director.persistence.directory.close()


def without_coordinator(config: PlatformConfig) -> PlatformConfig:
    """Returns a configuration whose coordinator cannot be reached."""
    return dataclasses.replace(config, coordinator=("127.0.4.250", 9))


def servers_of(director: Director) -> dict[str, ServerRecord]:
    """Returns a director's servers by uid."""
    return director.exchange.dispatcher.state.registry.servers


def list_of(director: Director) -> dict[str, tuple[str, str, float]]:
    """Returns state, address and start of each server that a director knows."""
    infos = [server.info for server in servers_of(director).values()]
    return {info.name: (info.state.value, info.address, info.started_ms) for info in infos}


async def publish_and_apply(director: Director, coordinator: Coordinator, *targets: Target) -> None:
    """Publishes a change of the list and waits until a director has applied it."""
    coordinator.publish(endpoints={"rev": 2, "all": False, "targets": list(targets)})
    last_index = len(coordinator.events)
    await wait_until(lambda: director.endpoint_feed.last_index == last_index)


async def purge_and_apply(director: Director, coordinator: Coordinator, **evict: Any) -> None:
    """Publishes a purge and waits until a director has applied it."""
    coordinator.publish(evict=evict)
    last_index = len(coordinator.events)
    await wait_until(lambda: director.endpoint_feed.last_index == last_index)


def purge_time(director: Director, key: int) -> float | None:
    """Returns when an object was purged last, as far as a director knows; in ms of its clock."""
    return director.exchange.dispatcher.state.purges.get(("key", key))

"""State that a director stored before it was killed is restored after its restart."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import re
from pathlib import Path
from typing import Any

import dns.name
import pytest
from click.testing import CliRunner

from gladewalk import interface as api
from gladewalk.cli.commands import gladewalk
from gladewalk.config.options import Options, build_options, read_option_tables
from gladewalk.config.platform import ConfigError, PlatformConfig, read_address, read_config
from gladewalk.core.clocks import AnchoredClock, read_wall_clock
from gladewalk.director import Director
from gladewalk.dns.settings import DnsConfig, LeaseSettings
from gladewalk.policy import Dispatcher
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import DirectorHarness, config_for, wait_until
from gladewalk.rehearsal.http_messages import encode_request
from gladewalk.rehearsal.resolver import StubResolver
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer
from gladewalk.store.dns_lease_rows import LEASE_SPACE, restore_leases
from gladewalk.store.file_system import StoreDirectory
from gladewalk.store.row_codecs import MAX_LOCATION_AGE_MS, PURGE_SPACE
from gladewalk.store.segmented_log import SegmentedLog
from gladewalk.store.warm_start import SNAPSHOT_SPACE, restore_snapshot

from .support import async_test


async def respond_hit(request: ReceivedRequest) -> None:
    await request.respond(200, b"copy", X_Remark="mem")


def options_with(folder: Path, **tables: dict[str, Any]) -> Options:
    return build_options(read_option_tables(tables), "t.toml", folder)


async def start_director(config: PlatformConfig, options: Options) -> Director:
    director = Director(config, asyncio.get_running_loop(), None, options)
    await director.start()
    return director


def stop_serving(director: Director) -> None:
    director.front.close()
    director.coordinator_watch.close()


async def stop_director(director: Director) -> None:
    stop_serving(director)
    assert director.persistence is not None
    await director.persistence.close()


async def start_caches(count: int) -> list[ScriptedServer]:
    return [await ScriptedServer(respond_hit, f"c{number}").start() for number in range(count)]


@async_test
async def test_a_purge_and_a_drain_outlast_a_kill_while_the_coordinator_is_unreachable(
    tmp_path: Path,
) -> None:
    options = options_with(tmp_path, store={"folder": "store"})
    caches = await start_caches(3)
    origin = await ScriptedServer(respond_hit, "o", "origin", "north").start()
    coordinator = await Coordinator().start()
    config = read_config(config_for([*caches, origin], coordinator), {})
    first = await start_director(config, options)
    await wait_until(lambda: bool(coordinator.followed_from))
    caches[0].state = "DRAINING"
    coordinator.publish_endpoints(caches[0])
    coordinator.publish(evict={"ref": "a1", "unix_ms": read_wall_clock().unix_ms})
    persistence = first.persistence
    assert persistence is not None
    await wait_until(lambda: persistence.status().purges == ["o:a1"])  # the drain is durable before it
    coordinator.stop()
    stop_serving(first)
    persistence.directory.close()  # nothing more is written, as after a kill
    restarted = await start_director(config, options)
    assert restarted.counters["store.purges_restored"] == 1
    assert restarted.exchange.dispatcher.state.registry.servers["c0"].info.state is api.ServerState.DRAINING
    await request_objects(restarted)
    purged_requests = [request for cache in caches for request in cache.received if "/a1/" in request.path]
    assert purged_requests and all("no-older-than" in request.headers for request in purged_requests)
    assert caches[0].received == []
    with pytest.raises(ConfigError, match=r"t.toml: store.folder: .*another process holds this store"):
        Director(config, asyncio.get_running_loop(), None, options)
    await stop_director(restarted)
    for cache in (*caches, origin):
        cache.stop()


async def request_objects(director: Director) -> None:
    """Requests the purged object a1 and other objects, each on a connection of its own."""
    for number in range(20):
        reader, writer = await asyncio.open_connection(*director.front.address)
        name = f"{number:x}" if number else "a1"
        writer.write(encode_request(f"/invoke/lot-page/{name}?nth=0", trace=f"{number + 1:016x}"))
        await reader.readuntil(b"\r\n\r\n")
        writer.close()


@async_test
async def test_a_purge_is_stored_for_as_long_as_it_takes_to_settle_by_the_settings_of_a_reload(
    tmp_path: Path,
) -> None:
    # Guards against a purge that a restart forgets, as it was stored by the settings of the start.
    settle_ms = 10.0 * MAX_LOCATION_AGE_MS
    coordinator = await Coordinator().start()
    config = read_config(config_for([], coordinator), {})
    director = await start_director(config, options_with(tmp_path, store={"folder": "store"}))
    settings = dataclasses.replace(config.settings, purge_settle_ms=settle_ms)
    director.apply(dataclasses.replace(config, settings=settings))
    await wait_until(lambda: bool(coordinator.followed_from))
    coordinator.publish(evict={"ref": "a1", "unix_ms": read_wall_clock().unix_ms})
    persistence = director.persistence
    assert persistence is not None
    await wait_until(lambda: bool(persistence.log.items(PURGE_SPACE)))
    later_ms = director.clock() + settle_ms
    assert len(persistence.log.index.items(PURGE_SPACE, later_ms)) == 1
    await stop_director(director)
    coordinator.stop()


@async_test
async def test_the_feed_continues_after_the_last_stored_event_but_not_with_another_coordinator(
    tmp_path: Path,
) -> None:
    options = options_with(tmp_path, store={"folder": "s", "resume": True}, control={"socket": "c"})
    caches = await start_caches(4)
    coordinator = await Coordinator().start()
    config = read_config(config_for(caches[:3], coordinator), {})
    first = await start_director(config, options)
    # The other caches are no longer listed.
    coordinator.publish_endpoints(caches[0], caches[3], is_complete=True)
    caches[3].state = "DRAINING"
    coordinator.publish_endpoints(caches[3])
    coordinator.publish(evict={"ref": "a1", "unix_ms": read_wall_clock().unix_ms})
    await wait_until(lambda: first.endpoint_feed.last_index == 4)
    command = ["store", "status", "--socket", str(tmp_path / "c")]
    result = await asyncio.to_thread(CliRunner().invoke, gladewalk, [*command, "--json"])
    assert (result.exit_code, json.loads(result.output)["feed"]) == (0, 4)
    result = await asyncio.to_thread(CliRunner().invoke, gladewalk, command)
    assert re.search(r"feed kept up to event\W+4", result.output), result.output
    await stop_director(first)
    restarted = await start_director(config, options)
    servers = restarted.exchange.dispatcher.state.registry.servers
    ready = {name for name, server in servers.items() if server.info.state is api.ServerState.READY}
    assert (ready, servers["c3"].info.state) == ({"c0"}, api.ServerState.DRAINING)
    await wait_until(lambda: len(coordinator.followed_from) == 2)
    assert coordinator.followed_from == [1, 4]
    await stop_director(restarted)
    # This coordinator's event numbers start from 1, and it lists three servers.
    other_coordinator = await Coordinator().start()
    other_coordinator.publish_endpoints(*caches[:3], is_complete=True)
    other_coordinator.publish_endpoints(caches[1])
    config_with_other = dataclasses.replace(config, coordinator=read_address(other_coordinator.address))
    redirected = await start_director(config_with_other, options)
    await wait_until(lambda: other_coordinator.followed_from == [4])
    other_coordinator.send_raw(b"2\n")
    await wait_until(lambda: redirected.endpoint_feed.last_index == 2)
    assert (other_coordinator.followed_from, redirected.counters["coordinator.numbering_back"]) == ([4, 1], 1)
    await stop_director(redirected)
    coordinator.stop()
    other_coordinator.stop()
    for cache in caches:
        cache.stop()


def partitions_with_locations(log: SegmentedLog) -> int:
    """Returns how many rows of the snapshot include one of the servers."""
    names = (b"c0", b"c1", b"c2")
    return sum(any(name in value for name in names) for value in log.items("warm").values())


@async_test
async def test_leases_and_the_warm_start_snapshot_are_restored_after_a_restart(tmp_path: Path) -> None:
    options = options_with(tmp_path, store={"folder": "store", "warm_ms": 50.0})
    caches = [ScriptedServer(respond_hit, f"c{number}", host=f"127.0.3.{number + 1}") for number in range(3)]
    dns_config = DnsConfig(
        ("127.0.0.1", 0), dns.name.from_text("cdn.example."), "127.0.0.1", 1_000.0, LeaseSettings(0.01)
    )
    async with DirectorHarness(caches, dns=dns_config, options=options) as harness:
        director = harness.director
        assert director is not None and director.dns is not None and director.persistence is not None
        resolver, log = StubResolver(director.dns.address), director.persistence.log
        addresses = await resolver.resolve("0.a1.lot-page.cdn.example.")
        assert len(addresses) == 1
        key, lease = next(iter(log.items(LEASE_SPACE).items()))
        # The lease was durable before the answer was sent.
        assert log.durable_sequence >= log.index.entries[LEASE_SPACE, key].sequence
        for number in range(8):
            await harness.fetch(f"/invoke/lot-page/{number:x}?nth=0", trace=f"{number + 1:016x}")
        await wait_until(lambda: partitions_with_locations(log) > 6)
        await wait_until(lambda: log.durable_sequence >= log.index.last_sequence - 1)
        director.persistence.directory.close()
    clock = AnchoredClock()
    reopened_log = SegmentedLog(StoreDirectory(tmp_path / "store"), clock)
    assert lease in reopened_log.items(LEASE_SPACE).values()
    core = Dispatcher(director.exchange.dispatcher.state.settings, 1)
    servers = tuple(server.info for server in director.exchange.dispatcher.state.registry.servers.values())
    core.handle(clock(), api.EndpointList(api.EndpointListKind.PERSISTED, servers))
    assert restore_leases(core, reopened_log.items(LEASE_SPACE), clock()) == 1
    objects, _ = restore_snapshot(core, reopened_log.items(SNAPSHOT_SPACE), clock())
    assert objects > 4

"""A server is known by its uid; its address may pass to another one, and its process may start again."""

import asyncio
from typing import Any

import pytest

from gladewalk import interface as api
from gladewalk.director import Director
from gladewalk.net.address_holders import AddressHolders
from gladewalk.rehearsal.director_harness import SETTINGS, DirectorHarness, class_settings, wait_until
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

from .server_scripts import hit, never_respond, running

KEYED_BY_CELL = class_settings("bid", 800.0, 3_000.0, "by_key", key_scope="cell", window_ms=5_000.0)


def successor_of(server: ScriptedServer, **changes: Any) -> ScriptedServer:
    """Returns another server that the coordinator lists at the address of `server`."""
    successor = ScriptedServer(hit, uid="c2", **changes)
    successor.address = server.address
    return successor


async def publish(harness: DirectorHarness, *servers: ScriptedServer) -> None:
    """Publishes a change of the list and waits until the director has applied it."""
    assert harness.director is not None
    feed = harness.director.endpoint_feed
    await wait_until(lambda: len(harness.coordinator.followed_from) > 0)
    harness.coordinator.publish_endpoints(*servers)
    await wait_until(lambda: feed.last_index == len(harness.coordinator.events))


def is_used(director: Director, name: str) -> bool:
    return director.exchange.dispatcher.state.registry.is_ready(name)


def test_a_server_whose_address_another_one_has_taken_gets_nothing_more() -> None:
    async def scenario() -> tuple[bool, bool, int, int]:
        server = ScriptedServer(hit, uid="c1")
        async with running(server) as (harness, director):
            assert (await harness.fetch())[0] == 200
            successor = successor_of(server)
            await publish(harness, successor)
            statuses = [(await harness.fetch(f"/invoke/lot-page/{n}?nth=0"))[0] for n in range(1, 20)]
            locations = director.exchange.dispatcher.state.locations
            credited = sum("c1" in holders for key, holders in locations.items() if key[0] < 20)
            return is_used(director, "c1"), is_used(director, "c2"), statuses.count(200), credited

    assert asyncio.run(scenario()) == (False, True, 19, 0)


def test_a_server_that_comes_back_at_another_address_is_used_again() -> None:
    async def scenario() -> list[bool]:
        server, elsewhere = ScriptedServer(hit, uid="c1"), ScriptedServer(hit, uid="c1")
        async with running(server) as (harness, director):
            await elsewhere.start()
            await publish(harness, successor_of(server))
            await publish(harness, elsewhere)
            assert (await harness.fetch())[0] == 200
            elsewhere.stop()
            return [is_used(director, name) for name in ("c1", "c2")]

    assert asyncio.run(scenario()) == [True, True]


def test_servers_that_swap_their_addresses_in_one_event_are_both_kept() -> None:
    async def scenario() -> list[bool]:
        one, two = ScriptedServer(hit, uid="c1"), ScriptedServer(hit, uid="c2")
        async with running(one, two) as (harness, director):
            one.address, two.address = two.address, one.address
            await publish(harness, one, two)
            return [is_used(director, name) for name in ("c1", "c2")]

    assert asyncio.run(scenario()) == [True, True]


def test_a_keyed_write_does_not_run_again_at_the_successor_of_the_cache_that_may_have_run_it() -> None:
    runs: list[str] = []

    async def run_and_die(request: ReceivedRequest) -> None:
        if request.method == "PUT":
            runs.append("c1")
        request.writer.transport.abort()

    async def run(request: ReceivedRequest) -> None:
        if request.method == "PUT":
            runs.append("c2")
        await hit(request)

    async def scenario() -> list[int]:
        server = ScriptedServer(run_and_die, uid="c1")
        origin = ScriptedServer(never_respond, uid="o", model="origin", zone="north")
        settings = {**SETTINGS, "classes": [*SETTINGS["classes"][:2], KEYED_BY_CELL]}
        async with running(server, origin, settings=settings) as (harness, _):
            statuses = []
            for trace_id in ("a" * 16, "b" * 16):
                reader, writer = await harness.connect()
                fields = {"trace": trace_id, "Replay_Key": "k1"}
                writer.write(encode_request("/invoke/bid/b1", "PUT", 900.0, b"bid", **fields))
                statuses.append((await read_message(reader)).status)
                server.script = run  # another process listens there now
                successor = successor_of(server)
                entry = {**successor.target(), "pod_group": 7}
                harness.coordinator.publish(endpoints={"rev": 1, "all": False, "targets": [entry]})
                await asyncio.sleep(0.1)
            return statuses

    asyncio.run(scenario())
    assert runs and "c2" not in runs


@pytest.mark.parametrize("has_restarted", [False, True])
def test_idle_connections_to_a_former_life_of_a_server_are_not_used(has_restarted: bool) -> None:
    async def scenario() -> int:
        server = ScriptedServer(hit, uid="c1", boot_ms=1_000.0)
        async with running(server) as (harness, _):
            assert (await harness.fetch())[0] == 200
            await asyncio.sleep(0.1)  # longer than a connection rests after a response
            server.boot_ms += 1_000.0 * has_restarted
            await publish(harness, server)
            assert (await harness.fetch("/invoke/lot-page/b2?nth=0"))[0] == 200
            return server.connections

    assert asyncio.run(scenario()) == 1 + has_restarted


@pytest.mark.parametrize("is_successor_first", [False, True])
def test_of_two_servers_at_one_address_in_a_list_the_one_that_started_last_holds_it(
    is_successor_first: bool,
) -> None:
    """Guards against a cold successor without a slow start: the list of a new start may have any order."""
    servers = [
        api.Server("c1", api.Role.CACHE, "edge-1", started_ms=0.0, address="127.0.0.1:9"),
        api.Server("c2", api.Role.CACHE, "edge-1", started_ms=5_000.0, address="127.0.0.1:9"),
    ]
    listed = servers[::-1] if is_successor_first else servers
    for is_complete in (True, False):
        resolved = AddressHolders().resolve(listed, is_complete=is_complete)
        states = {server.name: server.state for server in resolved}
        assert states == {"c1": api.ServerState.DRAINING, "c2": api.ServerState.READY}

"""The coordinator's feed on real sockets: spoilt lines, half lines, lines of no use, and what they cost."""

import asyncio
import json
import unittest
from typing import Any

from gladewalk.director import Director
from gladewalk.interface import ServerState
from gladewalk.net.coordinator import (
    HEARTBEAT_TIMEOUT_MS,
    MAX_BACKOFF_MS,
    MIN_BACKOFF_MS,
    USABLE_LINE_TIMEOUT_MS,
)
from gladewalk.net.endpoint_feed import MAX_REFETCHES
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import DirectorHarness, wait_until
from gladewalk.rehearsal.scripted_servers import ScriptedServer

from .server_scripts import hit, running


def whole_list(*targets: Any) -> dict[str, Any]:
    return {"endpoints": {"rev": 2, "all": False, "targets": list(targets)}}


async def answer_with_noise(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readline()
    writer.write(b"noise\n")


class World(DirectorHarness):
    """A director that follows, with one cache."""

    def __init__(self) -> None:
        self.cache = ScriptedServer(hit)
        super().__init__([self.cache])

    @property
    def running_director(self) -> Director:
        assert self.director is not None
        return self.director

    @property
    def known(self) -> dict[str, ServerState]:
        servers = self.running_director.exchange.dispatcher.state.registry.servers
        return {name: server.info.state for name, server in servers.items()}

    async def following(self, times: int) -> None:
        await wait_until(lambda: len(self.coordinator.followed_from) >= times)


class Spoilt(unittest.IsolatedAsyncioTestCase):
    async def test_an_entry_of_no_use_costs_the_others_nothing(self) -> None:
        async with World() as world:
            await world.following(1)
            good = {**world.cache.target(), "uid": "c2"}
            drains = {**world.cache.target(), "state": "DRAINING"}
            bad: list[Any] = [
                {**good, "uid": "x1", "state": "NAPPING"}, {**good, "uid": "x2", "endpoint": "nowhere"}, 7,
                {**good, "uid": "x3", "capacity_hint": "much"}, {**good, "uid": "x4", "capacity_hint": -1},
                {**good, "uid": "x5", "boot_ms": float("inf")}, {**good, "uid": 3}, None,
            ]  # fmt: skip
            world.coordinator.publish(**whole_list(*bad, good, drains))
            await wait_until(lambda: set(world.known) == {"c1", "c2"})
            assert world.known["c1"] == ServerState.DRAINING
            counters = world.running_director.counters
            await wait_until(lambda: counters["coordinator.given_up"] == 1)
            assert counters["coordinator.bad_entries"] == len(bad) * (1 + MAX_REFETCHES)
            assert world.coordinator.followed_from == [1] * (1 + MAX_REFETCHES)
            # Asking again did not help: the next such event is asked for once more, not three times.
            world.coordinator.publish(**whole_list(bad[0]))
            await wait_until(lambda: counters["coordinator.given_up"] == 2)
            assert world.coordinator.followed_from[1 + MAX_REFETCHES :] == [2]
            world.coordinator.publish(**whole_list({**good, "uid": "c3"}))
            await wait_until(lambda: "c3" in world.known)
            assert world.running_director.endpoint_feed.last_index == 4

    async def test_a_change_spoilt_on_its_way_is_asked_for_again_and_not_lost(self) -> None:
        async with World() as world:
            await world.following(1)
            event = {"index": 2, **whole_list({**world.cache.target(), "uid": "c2"})}
            for spoilt in (
                {"index": 2, "endpoints": {"rev": 2}},
                {"index": 2, "endpoints": {"rev": 2, "targets": [{"uid": "c2"}]}},
                {"index": 2, "evict": {"ref": "xyz", "unix_ms": 1.0}},
                {"index": 2, "evict": {"shard": 3, "unix_ms": float("nan")}},
            ):
                before = len(world.coordinator.followed_from)
                world.running_director.endpoint_feed._refetched = (0, 0)
                world.coordinator.send_raw(json.dumps(spoilt).encode() + b"\n")
                await world.following(before + 1)
            assert set(world.coordinator.followed_from) == {1}
            assert "c2" not in world.known
            world.coordinator.events.append(event)
            world.coordinator.disconnect()
            await wait_until(lambda: "c2" in world.known)
            assert world.running_director.endpoint_feed.last_index == 2

    async def test_lines_that_are_none_leave_the_last_list_in_force(self) -> None:
        async with World() as world:
            await world.following(1)
            lines = [b"[" * 200_000, b"{}", b"true", b'{"index":true}', b'{"index":"2"}', b"\xff\xfe", b'"x"']
            for number, line in enumerate(lines):
                world.coordinator.send_raw(line + b"\n")
                await world.following(number + 2)
            assert world.known == {"c1": ServerState.READY}
            assert world.running_director.counters["coordinator.bad_lines"] == len(lines)
            assert (await world.fetch())[0] == 200


class Nothing(unittest.IsolatedAsyncioTestCase):
    """A coordinator that takes connections and brings nothing of use."""

    async def test_bytes_without_a_line_of_use_shorten_no_wait(self) -> None:
        async with World() as world:
            watch = world.running_director.coordinator_watch
            await world.following(1)
            noise = await asyncio.start_server(answer_with_noise, "127.0.0.1", 0)
            watch.set_address(noise.sockets[0].getsockname()[:2])
            await wait_until(lambda: watch.backoff_ms == MAX_BACKOFF_MS)
            noise.close()
            host, _, port = world.coordinator.address.rpartition(":")
            watch.address = (host, int(port))  # and not `set_address`, which begins anew
            await world.following(2)
            await wait_until(lambda: watch.backoff_ms == MIN_BACKOFF_MS)

    async def test_half_a_line_keeps_a_connection_alive_for_a_while_only(self) -> None:
        async with World() as world:
            director, watch = world.running_director, world.running_director.coordinator_watch
            await world.following(1)
            await wait_until(lambda: director.readiness.is_synced)
            real, ahead, written = director.endpoint_feed.clock, 0.0, [0]
            director.endpoint_feed.clock = lambda: real() + ahead
            begun = real()
            for step in range(1, 4):  # half a line goes on and on, always before the time of a silence
                ahead = step * 0.9 * HEARTBEAT_TIMEOUT_MS
                world.coordinator.send_raw(b" ")
                written[0] = step
                await wait_until(lambda: (c := watch.connection) is None or len(c.partial_line) >= written[0])
                if watch._timer is not None:
                    assert watch._timer[0] <= max(real(), begun) + USABLE_LINE_TIMEOUT_MS
            world.running_director.endpoint_feed.clock = real


class Down(unittest.IsolatedAsyncioTestCase):
    async def test_idle_clients_that_fill_their_places_leave_the_feed_its_descriptor(self) -> None:
        coordinator = Coordinator()
        async with running(ScriptedServer(hit), coordinator=coordinator) as (world, director):
            await wait_until(lambda: len(coordinator.followed_from) == 1)
            assert coordinator._server is not None
            port = int(coordinator.address.rpartition(":")[2])
            coordinator._server.close()
            coordinator.disconnect()  # discovery is down
            clients = [await world.connect() for _ in range(2 * director.front.connection_limit)]
            await wait_until(lambda: director.counters["coordinator.connects"] >= 3)
            assert director.front.descriptor_count <= director.config.max_descriptors
            again = await asyncio.start_server(coordinator._serve, "127.0.0.1", port)
            await wait_until(lambda: len(coordinator.followed_from) == 2)
            assert (await world.fetch())[0] == 200
            again.close()
            for _, writer in clients:
                writer.close()

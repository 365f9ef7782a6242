"""The coordinator's feed on real sockets: damaged, incomplete and unusable lines and their effects."""

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


def endpoint_list(*targets: Any) -> dict[str, Any]:
    return {"endpoints": {"rev": 2, "all": False, "targets": list(targets)}}


async def send_invalid_line(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readline()
    writer.write(b"noise\n")


class FeedHarness(DirectorHarness):
    """A director that follows the feed, with one cache."""

    def __init__(self) -> None:
        self.cache = ScriptedServer(hit)
        super().__init__([self.cache])

    @property
    def running_director(self) -> Director:
        assert self.director is not None
        return self.director

    @property
    def known_states(self) -> dict[str, ServerState]:
        servers = self.running_director.exchange.dispatcher.state.registry.servers
        return {name: server.info.state for name, server in servers.items()}

    async def wait_for_follows(self, times: int) -> None:
        await wait_until(lambda: len(self.coordinator.followed_from) >= times)


class InvalidLines(unittest.IsolatedAsyncioTestCase):
    async def test_an_unusable_entry_does_not_affect_the_others(self) -> None:
        async with FeedHarness() as harness:
            await harness.wait_for_follows(1)
            good = {**harness.cache.target(), "uid": "c2"}
            drains = {**harness.cache.target(), "state": "DRAINING"}
            bad: list[Any] = [
                {**good, "uid": "x1", "state": "NAPPING"}, {**good, "uid": "x2", "endpoint": "nowhere"}, 7,
                {**good, "uid": "x3", "capacity_hint": "much"}, {**good, "uid": "x4", "capacity_hint": -1},
                {**good, "uid": "x5", "boot_ms": float("inf")}, {**good, "uid": 3}, None,
            ]  # fmt: skip
            harness.coordinator.publish(**endpoint_list(*bad, good, drains))
            await wait_until(lambda: set(harness.known_states) == {"c1", "c2"})
            assert harness.known_states["c1"] == ServerState.DRAINING
            counters = harness.running_director.counters
            await wait_until(lambda: counters["coordinator.given_up"] == 1)
            assert counters["coordinator.bad_entries"] == len(bad) * (1 + MAX_REFETCHES)
            assert harness.coordinator.followed_from == [1] * (1 + MAX_REFETCHES)
            # Fetching again did not help: the next such event is fetched once more instead of three times.
            harness.coordinator.publish(**endpoint_list(bad[0]))
            await wait_until(lambda: counters["coordinator.given_up"] == 2)
            assert harness.coordinator.followed_from[1 + MAX_REFETCHES :] == [2]
            harness.coordinator.publish(**endpoint_list({**good, "uid": "c3"}))
            await wait_until(lambda: "c3" in harness.known_states)
            assert harness.running_director.endpoint_feed.last_index == 4

    async def test_a_change_damaged_in_transit_is_fetched_again_and_not_lost(self) -> None:
        async with FeedHarness() as harness:
            await harness.wait_for_follows(1)
            event = {"index": 2, **endpoint_list({**harness.cache.target(), "uid": "c2"})}
            for damaged in (
                {"index": 2, "endpoints": {"rev": 2}},
                {"index": 2, "endpoints": {"rev": 2, "targets": [{"uid": "c2"}]}},
                {"index": 2, "evict": {"ref": "xyz", "unix_ms": 1.0}},
                {"index": 2, "evict": {"shard": 3, "unix_ms": float("nan")}},
            ):
                before = len(harness.coordinator.followed_from)
                harness.running_director.endpoint_feed._refetched = (0, 0)
                harness.coordinator.send_raw(json.dumps(damaged).encode() + b"\n")
                await harness.wait_for_follows(before + 1)
            assert set(harness.coordinator.followed_from) == {1}
            assert "c2" not in harness.known_states
            harness.coordinator.events.append(event)
            harness.coordinator.disconnect()
            await wait_until(lambda: "c2" in harness.known_states)
            assert harness.running_director.endpoint_feed.last_index == 2

    async def test_invalid_lines_leave_the_last_list_in_force(self) -> None:
        async with FeedHarness() as harness:
            await harness.wait_for_follows(1)
            lines = [b"[" * 200_000, b"{}", b"true", b'{"index":true}', b'{"index":"2"}', b"\xff\xfe", b'"x"']
            for number, line in enumerate(lines):
                harness.coordinator.send_raw(line + b"\n")
                await harness.wait_for_follows(number + 2)
            assert harness.known_states == {"c1": ServerState.READY}
            assert harness.running_director.counters["coordinator.bad_lines"] == len(lines)
            assert (await harness.fetch())[0] == 200


class UnusableData(unittest.IsolatedAsyncioTestCase):
    """A coordinator that accepts connections and sends no usable data."""

    async def test_data_without_a_usable_line_does_not_reset_the_backoff(self) -> None:
        async with FeedHarness() as harness:
            watch = harness.running_director.coordinator_watch
            await harness.wait_for_follows(1)
            invalid_server = await asyncio.start_server(send_invalid_line, "127.0.0.1", 0)
            watch.set_address(invalid_server.sockets[0].getsockname()[:2])
            await wait_until(lambda: watch.backoff_ms == MAX_BACKOFF_MS)
            invalid_server.close()
            host, _, port = harness.coordinator.address.rpartition(":")
            watch.address = (host, int(port))  # not `set_address`, which resets the backoff
            await harness.wait_for_follows(2)
            await wait_until(lambda: watch.backoff_ms == MIN_BACKOFF_MS)

    async def test_an_incomplete_line_keeps_a_connection_open_for_a_limited_time(self) -> None:
        async with FeedHarness() as harness:
            director, watch = harness.running_director, harness.running_director.coordinator_watch
            await harness.wait_for_follows(1)
            await wait_until(lambda: director.readiness.is_synced)
            real_clock, offset_ms, written = director.endpoint_feed.clock, 0.0, [0]
            director.endpoint_feed.clock = lambda: real_clock() + offset_ms
            start_ms = real_clock()
            for step in range(1, 4):  # the line continues without end, each time before the heartbeat timeout
                offset_ms = step * 0.9 * HEARTBEAT_TIMEOUT_MS
                harness.coordinator.send_raw(b" ")
                written[0] = step
                await wait_until(lambda: (c := watch.connection) is None or len(c.partial_line) >= written[0])
                if watch._timer is not None:
                    assert watch._timer[0] <= max(real_clock(), start_ms) + USABLE_LINE_TIMEOUT_MS
            harness.running_director.endpoint_feed.clock = real_clock


class CoordinatorDown(unittest.IsolatedAsyncioTestCase):
    async def test_idle_clients_at_their_limit_leave_a_descriptor_for_the_feed(self) -> None:
        coordinator = Coordinator()
        async with running(ScriptedServer(hit), coordinator=coordinator) as (harness, director):
            await wait_until(lambda: len(coordinator.followed_from) == 1)
            assert coordinator._server is not None
            port = int(coordinator.address.rpartition(":")[2])
            coordinator._server.close()
            coordinator.disconnect()  # the coordinator is unavailable
            clients = [await harness.connect() for _ in range(2 * director.front.connection_limit)]
            await wait_until(lambda: director.counters["coordinator.connects"] >= 3)
            assert director.front.descriptor_count <= director.config.max_descriptors
            restarted = await asyncio.start_server(coordinator._serve, "127.0.0.1", port)
            await wait_until(lambda: len(coordinator.followed_from) == 2)
            assert (await harness.fetch())[0] == 200
            restarted.close()
            for _, writer in clients:
                writer.close()

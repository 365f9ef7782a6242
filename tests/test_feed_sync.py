"""When a director that starts has heard the coordinator out, and what it does until then."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from gladewalk.net.feed_sync import SYNC_LIMITS, UPGRADE_SYNC_LIMITS, FeedSync, SyncLimits
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import DirectorHarness, config_for, wait_until
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.resolver import StubResolver
from gladewalk.rehearsal.scripted_servers import ScriptedServer

from .program import DirectorProgram, start_program
from .server_scripts import hit
from .test_dns import DIRECTOR_ADDRESS, dns_config, object_name, serve_hit

STARTED_MS = 1_000.0
PURGES = 12  # a backlog that takes a slow coordinator some time, shorter than the limits
BACKLOG_INTERVAL_S = 0.1
PURGED_KEY = 0xA1


def sync_after(*received: tuple[float, str], limits: SyncLimits = SYNC_LIMITS) -> FeedSync:
    """The state after a connection and these lines, each with its time since the start."""
    sync = FeedSync(STARTED_MS, limits)
    sync.connected(STARTED_MS)
    for at_ms, line in received:
        sync.data_received(STARTED_MS + at_ms, is_line_open=line == "part of a line")
        if line == "event":
            sync.event_applied(STARTED_MS + at_ms)
        if line == "heartbeat":
            sync.heartbeat_received(STARTED_MS + at_ms)
    return sync


def events_at(*times_ms: float) -> list[tuple[float, str]]:
    return [(at_ms, "event") for at_ms in times_ms]


def complete_at(sync: FeedSync) -> float | None:
    """The time since the start at which the state is complete without further data; None if it gives up."""
    at_ms = sync.next_check_ms()
    assert not sync.is_complete(at_ms - 0.1) and not sync.has_given_up(at_ms - 0.1)
    return at_ms - STARTED_MS if sync.is_complete(at_ms) else None


def gives_up_at(sync: FeedSync) -> float:
    assert complete_at(sync) is None
    return sync.next_check_ms() - STARTED_MS


def test_a_heartbeat_completes_the_backlog_and_the_first_line_does_not() -> None:
    # Guards against a start that takes the first line for all that the coordinator has to say.
    assert not sync_after(*events_at(100.0, 200.0)).is_complete(STARTED_MS + 200.0)
    assert sync_after(*events_at(100.0, 200.0), (200.0, "heartbeat")).is_complete(STARTED_MS + 200.0)
    for limits in (SYNC_LIMITS, UPGRADE_SYNC_LIMITS):
        assert sync_after((2.0, "heartbeat"), limits=limits).is_complete(STARTED_MS + 2.0)


def test_where_nobody_waits_a_heartbeat_between_two_events_does_not_complete_the_backlog() -> None:
    # Guards against a heartbeat with the number of the last event sent that is taken for the last event.
    heard = [*events_at(100.0, 200.0), (210.0, "heartbeat")]
    assert complete_at(sync_after(*heard, limits=UPGRADE_SYNC_LIMITS)) == 210.0 + 150.0
    assert complete_at(sync_after(*heard, (300.0, "event"), limits=UPGRADE_SYNC_LIMITS)) is None


def test_only_a_pause_that_is_long_for_this_coordinator_completes_the_backlog_without_a_heartbeat() -> None:
    # Guards against a slow coordinator whose pause between two events is taken for the end of its backlog.
    assert complete_at(sync_after(*events_at(2.0, 3.0, 4.0))) == 4.0 + SYNC_LIMITS.min_pause_ms
    assert complete_at(sync_after(*events_at(100.0))) == 100.0 + 400.0
    assert complete_at(sync_after(*events_at(2.0, 302.0, 402.0))) == 402.0 + 1_200.0
    assert complete_at(sync_after(*events_at(2.0), (3.0, "part of a line"))) is None
    assert complete_at(sync_after(*events_at(2.0), limits=UPGRADE_SYNC_LIMITS)) is None


def test_the_wait_is_given_up_in_time_for_the_platform_and_sooner_when_nothing_is_heard() -> None:
    assert gives_up_at(FeedSync(STARTED_MS)) == SYNC_LIMITS.max_unconnected_ms
    assert gives_up_at(sync_after()) == SYNC_LIMITS.max_silence_ms
    assert gives_up_at(sync_after((900.0, "part of a line"))) == 900.0 + SYNC_LIMITS.max_silence_ms
    slow = sync_after(*events_at(*range(100, 4_900, 100)))
    assert gives_up_at(slow) == SYNC_LIMITS.max_wait_ms < 6_000.0
    assert gives_up_at(FeedSync(STARTED_MS, UPGRADE_SYNC_LIMITS)) == SYNC_LIMITS.max_wait_ms


async def ask_readiness(serving: dict[str, Any]) -> str:
    reader, writer = await asyncio.open_connection(*serving["admin"])
    writer.write(encode_request("/ops/readiness"))
    status_line = (await read_message(reader))[0]
    writer.close()
    return status_line.split(" ")[1]


@asynccontextmanager
async def upgraded(
    folder: Path, coordinator: Coordinator
) -> AsyncIterator[tuple[DirectorProgram, socket.socket]]:
    """A director with an inherited listener, which starts while the coordinator has a backlog for it."""
    cache, listener = await ScriptedServer(hit).start(), socket.create_server(("127.0.0.1", 0))
    await coordinator.start()
    file = folder / "config.json"
    file.write_text(json.dumps({**config_for([cache], coordinator), "admin_addr": "127.0.0.1:0"}))
    for number in range(PURGES):
        coordinator.publish(evict={"ref": f"{number:x}", "unix_ms": 1})
    program = await start_program(file, listener_fd=listener.fileno())
    yield program, listener
    assert await program.stop() == 0
    listener.close()
    for part in (cache, coordinator):
        part.stop()


async def check_slow_backlog(folder: Path) -> None:
    async with upgraded(folder, Coordinator(backlog_interval_s=BACKLOG_INTERVAL_S)) as (program, listener):
        serving = await program.event("serving")
        assert await ask_readiness(serving) == "503"
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        writer.write(encode_request("/invoke/lot-page/a1?nth=0"))
        synced = await program.event("feed_synced")
        assert (synced["complete"], synced["events"]) == (True, PURGES)
        assert await ask_readiness(serving) == "200"
        assert " 200 " in (await read_message(reader))[0]  # it waited in the listener's queue
        writer.close()


def test_an_upgraded_director_is_ready_once_it_has_all_events_of_a_slow_coordinator(tmp_path: Path) -> None:
    # Guards against a yes after the first of many events: purged copies and drained caches would be used.
    asyncio.run(check_slow_backlog(tmp_path))


async def check_inherited_listener(folder: Path) -> None:
    coordinator = Coordinator(responses_allowed=asyncio.Event())
    async with upgraded(folder, coordinator) as (program, listener):
        await program.event("serving")
        listener.setblocking(False)
        with socket.create_connection(listener.getsockname()):
            await wait_until(lambda: len(coordinator.followed_from) == 1)
            await asyncio.sleep(BACKLOG_INTERVAL_S)
            listener.accept()[0].close()  # as the process does that is replaced
        assert coordinator.responses_allowed is not None
        coordinator.responses_allowed.set()
        assert (await program.event("feed_synced"))["complete"]


def test_a_director_that_is_not_ready_leaves_connections_to_the_process_it_replaces(tmp_path: Path) -> None:
    # Guards against requests that wait in the new process while the old one could serve them.
    asyncio.run(check_inherited_listener(tmp_path))


async def check_resolution() -> None:
    cache = ScriptedServer(serve_hit, capacity=50.0)
    coordinator = Coordinator(responses_allowed=asyncio.Event())
    async with DirectorHarness([cache], coordinator, dns=dns_config()) as harness:
        assert harness.director is not None and harness.director.dns is not None
        resolver = StubResolver(harness.director.dns.address)
        query = asyncio.ensure_future(resolver.resolve(object_name(PURGED_KEY)))
        await wait_until(lambda: len(coordinator.followed_from) == 1)
        await asyncio.sleep(BACKLOG_INTERVAL_S)
        purge = {"ref": f"{PURGED_KEY:x}", "unix_ms": round(time.time() * 1000.0)}
        coordinator.events.append({"index": 2, "evict": purge})
        assert coordinator.responses_allowed is not None
        coordinator.responses_allowed.set()
        assert await query == [DIRECTOR_ADDRESS]


def test_a_name_is_resolved_only_with_the_events_of_the_coordinator() -> None:
    # Guards against a resolver that keeps a cache's address for an object which was purged already.
    asyncio.run(check_resolution())

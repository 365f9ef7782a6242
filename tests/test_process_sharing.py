"""The processes of a handover use a director's budgets together as one director may."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gladewalk import interface as api
from gladewalk.core.counters import Counters
from gladewalk.core.deadlines import Deadlines
from gladewalk.core.process_presence import UNKNOWN_CLAIM, ProcessPresence, is_process_alive
from gladewalk.core.process_sharing import CHECK_INTERVAL_MS, ProcessSharing
from gladewalk.interface import Status
from gladewalk.limits.admission_price import MIN_PRICE
from gladewalk.limits.origin_breaker import TOLERATED_FAILURES, OriginBreaker
from gladewalk.limits.process_share import EQUAL_FRACTION, ProcessClaim, ProcessShare
from gladewalk.limits.retry_budget import MAX_SAVED_RETRIES
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import SETTINGS, config_for
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ScriptedServer

from .program import DirectorProgram, start_program
from .server_scripts import hit
from .test_cold_fleet import tolerated_requests
from .world import CACHES, ORIGIN, PARENTS, DispatcherEnvironment

# The claims of the processes.


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 300)), min_size=20, max_size=80))
def test_claims_of_processes_add_up_to_no_more_than_the_budgets(steps: list[tuple[int, int]]) -> None:
    """Guards against processes that each take what the requests would give it, before another gives way."""
    shares = [ProcessShare() for _ in range(3)]
    claims = [ProcessClaim(0.0, 0.0)] * 3
    received = [0] * 3

    def update(number: int, now_ms: float) -> None:
        others = [claims[other] for other in range(3) if other != number]
        claims[number] = shares[number].update(now_ms, received[number], others)

    for now_ms in (0.0, 200.0, 400.0):  # a process that has just started may claim its minimum at once
        for number in range(3):
            update(number, now_ms + number)
    for step, (number, count) in enumerate(steps):
        received[number] += count
        update(number, 600.0 + 70.0 * step)
        assert sum(claim.share for claim in claims) <= 1.0 + 1e-9
        assert min(claim.share for claim in claims) >= EQUAL_FRACTION / 3.0 - 1e-9


def test_shares_follow_the_requests_and_return_to_a_process_that_is_left_alone() -> None:
    """Guards against a budget of which half lies idle at a process that gets no requests."""
    busy, idle = ProcessShare(), ProcessShare()
    for step in range(20):
        busy_claim = busy.update(200.0 * step, 50 * step, [idle.claim])
        idle_claim = idle.update(200.0 * step, 0, [busy_claim])
    assert busy_claim.share == pytest.approx(1.0 - EQUAL_FRACTION / 2.0, abs=0.01)
    assert idle_claim.share == pytest.approx(EQUAL_FRACTION / 2.0, abs=0.01)
    assert idle.update(4_200.0, 0, []) == ProcessClaim(0.0, 1.0)
    assert idle.process_count == 1


# How the processes tell each other.


def test_processes_read_each_others_claims_until_they_leave(tmp_path: Path) -> None:
    """Guards against shares that a process keeps after the other has ended, and against unreadable claims."""
    first, second = (ProcessPresence(tmp_path, Counters(), pid, lambda _: True) for pid in (1, 2))
    assert first.claims_of_others() == [ProcessClaim(0.0, 0.0)]  # it has published none yet
    for claim in (ProcessClaim(12.5, 0.25), ProcessClaim(0.0, 0.75)):
        second.publish(claim)
        assert first.claims_of_others() == [claim]
    for text in ("1", "nan 1", "5 2", "-1 0.5", "1 2 3", ""):
        (tmp_path / "process-2").unlink()
        (tmp_path / "process-2").symlink_to(text or " ")
        assert first.claims_of_others() == [UNKNOWN_CLAIM]
    second.leave()
    assert first.claims_of_others() == []
    assert [path.name for path in tmp_path.iterdir()] == ["process-1"]
    counters = Counters()
    unusable = ProcessPresence(tmp_path / "no" / "folder", counters, 3)
    unusable.publish(ProcessClaim(0.0, 1.0))
    assert (unusable.claims_of_others(), counters["processes.unpublished"]) == ([], 1)


def test_a_killed_process_that_nobody_has_waited_for_does_not_serve() -> None:
    """Guards against budgets that stay divided with a process that was killed, until its parent looks."""
    with subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE) as process:
        assert is_process_alive(process.pid)
        process.kill()
        end_s = time.monotonic() + 10.0
        while is_process_alive(process.pid) and time.monotonic() < end_s:
            time.sleep(0.01)
        assert not is_process_alive(process.pid)
        assert process.returncode is None  # it has not been waited for


def test_a_process_tells_its_director_when_its_share_changes(tmp_path: Path) -> None:
    now_ms = 0.0
    changes: list[api.ProcessShareChanged] = []
    deadlines = Deadlines(lambda _: None)
    presences = [ProcessPresence(tmp_path, Counters(), pid, lambda _: True) for pid in (1, 2)]
    presences[1].leave()
    sharing = ProcessSharing(presences[0], lambda: now_ms, deadlines, Counters(), changes.append)
    sharing.check()
    assert changes == []
    presences[1].publish(ProcessClaim(0.0, 0.0))
    now_ms += CHECK_INTERVAL_MS
    deadlines.sweep(now_ms)
    assert changes == [api.ProcessShareChanged(2, 0.5)]
    presences[1].leave()
    now_ms += CHECK_INTERVAL_MS
    deadlines.sweep(now_ms)
    assert changes[1:] == [api.ProcessShareChanged(1, 1.0)]
    sharing.leave()
    deadlines.sweep(now_ms + CHECK_INTERVAL_MS)
    assert list(tmp_path.iterdir()) == []


# The budgets that are divided.


def environment_with_share(share: float, *servers: api.Server, **changes: Any) -> DispatcherEnvironment:
    """A process that has a share of the budgets of its dispatcher, which is the only one of its location."""
    counts = (0, 0, 1, 0)
    env = DispatcherEnvironment(servers, dispatchers_by_zone=counts, dispatcher_count=1, **changes)
    if share < 1.0:
        env.handle_event(api.ProcessShareChanged(2, share))
    return env


def count_fills_of_a_cold_parent(share: float) -> int:
    cold = replace(PARENTS[0], started_ms=99_000.0, capacity=10.0)
    env = environment_with_share(share, *CACHES, cold, ORIGIN)
    for server in env.servers.values():
        server.fill_quota = 500.0
    count = 0
    for key in range(400):
        (lookup,) = env.send_request(key, after_ms=10.0)
        for fetch in env.end_attempt(lookup, api.Status.MISS, after_ms=0.0):
            count += fetch.source == "p1"
            env.end_attempt(fetch, api.Status.OK, 1, detail=api.OutcomeDetail.FILLED, after_ms=0.0)
    return count


def test_two_processes_fill_from_a_cold_parent_as_often_as_one() -> None:
    """Guards against processes of one director that each send a cold parent what the director may."""
    whole, half = count_fills_of_a_cold_parent(1.0), count_fills_of_a_cold_parent(0.5)
    assert whole > 10
    assert whole - 3 <= 2 * half <= whole + 1


def test_two_processes_give_dns_answers_for_a_server_as_often_as_one() -> None:
    """Guards against cached DNS answers that lead twice as many clients to a server when it restarts."""
    capacities = [
        environment_with_share(share, *CACHES).dispatcher.dns_placement.capacity for share in (1.0, 0.25)
    ]
    servers = [environment_with_share(1.0, *CACHES).servers["c0"]] * 2
    whole, quarter = (
        capacity.max_dns_lease_weight(server) for capacity, server in zip(capacities, servers, strict=True)
    )
    assert quarter == pytest.approx(whole / 4.0)


def count_lookups_until_overload(share: float) -> int:
    cache = replace(CACHES[0], capacity=30.0)
    env = environment_with_share(share, cache, PARENTS[0], ORIGIN, may_bypass_caches=True)
    for count in range(1_000):
        actions = env.send_request(count, after_ms=0.1)
        if [action for action in actions if not isinstance(action, api.Lookup)]:
            return count
    raise AssertionError("the cache was never overloaded")


def test_two_processes_put_as_many_transfers_on_a_link_as_one() -> None:
    """Guards against a link that two processes each load as if the other sent nothing over it."""
    whole, half = count_lookups_until_overload(1.0), count_lookups_until_overload(0.5)
    random_part = 0.8 * (whole / 2.0 / 2.0) ** 0.5  # by which a sender's share may exceed the mean
    assert whole / 2.0 <= half <= whole / 2.0 + random_part + 1.0


def test_two_processes_save_up_as_many_retries_as_one() -> None:
    """Guards against twice the retries at once when servers fail during an upgrade."""
    saved = []
    for share in (1.0, 0.5):
        env = environment_with_share(share, *CACHES, PARENTS[0], ORIGIN)
        env.send_request(1)
        saved.append(env.dispatcher.router._retries.budget.tokens)
    assert saved == [MAX_SAVED_RETRIES, MAX_SAVED_RETRIES / 2.0]


def count_trial_fills(process_count: int) -> int:
    """The fills that processes of one director send in 60 s to an origin that rejects them all."""
    breakers = [OriginBreaker() for _ in range(process_count)]
    count = 0
    for now_ms in range(0, 60_000, 10):
        for breaker in breakers:
            if breaker.allows(now_ms):
                breaker.record_sent(now_ms, process_count)
                breaker.record_outcome(now_ms + 1.0, Status.REJECTED, 1.0, 400.0, process_count)
                count += 1
    return count


def test_two_processes_try_a_failing_origin_as_often_as_one() -> None:
    """Guards against twice the trial fills at an origin that fails, which would keep it down."""
    assert count_trial_fills(1) > 10
    assert count_trial_fills(2) <= count_trial_fills(1) + 2 * (TOLERATED_FAILURES + 1)


def test_a_process_sheds_load_by_its_own_part_of_the_client_connections() -> None:
    """Guards against a price of admission that stays low while a process has no connection left."""
    prices = []
    for share in (1.0, 0.5):
        env = environment_with_share(share, *CACHES, PARENTS[0], ORIGIN, client_connection_limit=40)
        for key in range(20):
            env.send_request(key)
        for _ in range(10):
            env.sweep()
        prices.append(env.dispatcher.router._admission.price)
    assert prices[0] == MIN_PRICE < prices[1]


# Two processes under load.

RATE_PER_S, LOAD_S, SIZE_KB, CLIENT_KB_PER_S = 200.0, 3.5, 500.0, 10_000.0
MEAN_MS = SIZE_KB / CLIENT_KB_PER_S * 1_000.0
CAPACITY, COLD_FROM, RAMP_MS, MULTIPLE, WINDOW_MS = 4.0, 0.16, 18_000.0, 3.0, 1_000.0
NEWS_BINDS_S = 2.0  # after the second process has said that it is ready


async def read_steadily(address: tuple[str, int], seconds: float) -> None:
    """Sends reads at a steady rate, each on a new connection."""

    async def read(number: int) -> None:
        reader, writer = await asyncio.open_connection(*address)
        path = f"/invoke/lot-page/{number:016x}?nth=0"
        writer.write(encode_request(path, trace=os.urandom(8).hex(), Reserve_Kb=str(SIZE_KB)))
        await read_message(reader)
        writer.close()

    began_s = time.monotonic()
    tasks: list[asyncio.Task[None]] = []
    while (elapsed_s := time.monotonic() - began_s) < seconds:
        tasks += [asyncio.create_task(read(n)) for n in range(len(tasks), int(elapsed_s * RATE_PER_S))]
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)


def max_load_of_a_window(received_s: list[float], booted_s: float) -> float:
    """The greatest ratio, over all windows, of the requests of a cold cache to what makes it fall."""
    window_s, ratios = WINDOW_MS / 1_000.0, [0.0]
    for end_s in received_s:
        if end_s < received_s[0] + window_s:
            continue
        middle_ms = (end_s - booted_s) * 1_000.0 - WINDOW_MS / 2.0
        fraction = COLD_FROM + (1.0 - COLD_FROM) * middle_ms / RAMP_MS
        allowed = MULTIPLE * CAPACITY * fraction * WINDOW_MS / MEAN_MS
        count = sum(end_s - window_s < at_s <= end_s for at_s in received_s)
        ratios.append(count / tolerated_requests(allowed))
    return max(ratios)


async def upgrade_while_a_cache_is_cold(folder: Path) -> float:
    received_s: list[float] = []

    async def count_and_hit(request: Any) -> None:
        received_s.append(time.monotonic())
        await hit(request)

    cache = ScriptedServer(count_and_hit, "c1", capacity=CAPACITY)
    sources = [
        ScriptedServer(hit, "p1", "parent", "north", capacity=400.0),
        ScriptedServer(hit, "o1", "origin", "north", capacity=400.0),
    ]
    for server in (cache, *sources):
        await server.start()
    coordinator = await Coordinator().start()
    coordinator.publish_endpoints(cache, *sources, is_complete=True)
    chosen = {**SETTINGS, "me": 0, "specifics": {**SETTINGS["specifics"], "client_kb_per_s": CLIENT_KB_PER_S}}
    chosen["invariants"] = {**SETTINGS["invariants"], "tip_after_ms": WINDOW_MS}
    file, environ, programs = folder / "node.json", {**os.environ, "TMPDIR": str(folder)}, []

    async def start(listener: socket.socket) -> DirectorProgram:
        file.write_text(json.dumps(config_for([cache, *sources], coordinator, chosen)))
        program = await start_program(file, listener_fd=listener.fileno(), environ=environ)
        await program.event("serving")
        return program

    with socket.create_server(("127.0.0.1", 0), backlog=512) as listener:
        programs.append(await start(listener))
        await read_steadily(listener.getsockname(), 1.0)  # what a request takes is learned
        booted_s, cache.boot_ms = time.monotonic(), time.time() * 1_000.0
        coordinator.publish_endpoints(cache)
        programs.append(await start(listener))
        await asyncio.sleep(NEWS_BINDS_S)
        received_s.clear()
        await read_steadily(listener.getsockname(), LOAD_S)
        for program in programs:
            program.send(signal.SIGKILL)
            await program.finish()
    coordinator.stop()
    for server in (cache, *sources):
        server.stop()
    return max_load_of_a_window(received_s, booted_s)


def test_two_processes_of_an_upgrade_do_not_overload_a_cold_cache(tmp_path: Path) -> None:
    """Guards against processes of one director that each send a cold cache what the director may."""
    assert asyncio.run(upgrade_while_a_cache_is_cold(tmp_path)) <= 1.0

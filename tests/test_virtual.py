"""The virtual event loop and its streams, and a director running on it with stand-in servers and clients."""

import asyncio
import contextlib
import hashlib
import json
import os
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import pytest

from gladewalk.config.platform import read_config
from gladewalk.director import Director
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import SETTINGS, config_for
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer
from gladewalk.rehearsal.virtual.loop import DeadlockError, VirtualLoop, run_virtually
from gladewalk.rehearsal.virtual.streams import SPLIT_PROBABILITY

BODY = b"fish" * 5_000


ResultT = TypeVar("ResultT")


def run(work: Callable[[VirtualLoop], Coroutine[Any, Any, ResultT]], seed: int = 1) -> ResultT:
    return run_virtually(seed, work)[0]


# The loop and its streams.


def test_virtual_hours_pass_quickly_and_timers_fire_in_order() -> None:
    async def work(loop: VirtualLoop) -> list[float]:
        fired: list[float] = []
        for hours in (3.0, 1.0, 2.0):
            loop.call_later(hours * 3600.0, lambda hours=hours: fired.append(hours))  # type: ignore[misc]
        await asyncio.sleep(4 * 3600.0)
        return [*fired, loop.unix_ms() - loop.environment().clock(), loop.time()]

    started_s = time.monotonic()
    assert run(work) == [1.0, 2.0, 3.0, 0.0, 4 * 3600.0] and time.monotonic() - started_s < 60.0


def test_waiting_for_an_event_that_cannot_happen_raises_deadlock_error() -> None:
    async def work(loop: VirtualLoop) -> None:
        await loop.create_future()

    with pytest.raises(DeadlockError):
        run_virtually(1, work)


@pytest.mark.parametrize("has_failed", [False, True])
def test_a_run_leaves_no_task_connection_or_timer_to_the_garbage_collector(has_failed: bool) -> None:
    loops: list[VirtualLoop] = []
    left: list[Any] = []
    ended: list[str] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        left.append(writer)
        try:
            await asyncio.Event().wait()
        finally:
            ended.append("server")
            left.append(asyncio.get_running_loop().create_task(asyncio.sleep(3600.0)))

    async def work(loop: VirtualLoop) -> None:
        loops.append(loop)
        await asyncio.start_server(serve, "10.0.0.1", 7)
        for _ in range(3):
            left.append((await asyncio.open_connection("10.0.0.1", 7))[1])
        left.append(loop.create_task(asyncio.sleep(3600.0)))
        left.append(loop.call_later(3600.0, ended.append, "timer"))
        await asyncio.sleep(1.0)
        if has_failed:
            raise LookupError

    with pytest.raises(LookupError) if has_failed else contextlib.nullcontext():
        run_virtually(1, work)
    assert not loops[0].transports and ended == ["server"] * 3
    for one in left:
        if isinstance(one, asyncio.StreamWriter):
            assert one.transport.is_closing()
        else:
            assert one.done() if isinstance(one, asyncio.Task) else one.cancelled()


def test_the_json_of_a_played_scenario_is_all_that_is_printed_in_development_mode(tmp_path: Path) -> None:
    scenario = tmp_path / "short.toml"
    scenario.write_text("seconds = 8.0\n[traffic]\nper_s = 30.0\n")
    done = subprocess.run(
        [sys.executable, "-X", "dev", "-m", "gladewalk", "play", str(scenario), "--json"],
        cwd=Path(__file__).parent.parent, env={**os.environ, "PYTHONASYNCIODEBUG": "1"},
        capture_output=True, text=True, timeout=120, check=False,
    )  # fmt: skip
    assert done.stderr == "" and done.returncode == 0 and json.loads(done.stdout)["passed"]


def test_bytes_arrive_complete_and_in_order_in_pieces_and_eof_arrives_after_them() -> None:
    async def work(loop: VirtualLoop) -> tuple[bytes, int]:
        pieces: list[bytes] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(1 << 20):
                pieces.append(data)
            writer.write(b"thanks")
            writer.close()

        await asyncio.start_server(serve, "10.0.0.1", 7)
        reader, writer = await asyncio.open_connection("10.0.0.1", 7)
        for number in range(200):
            writer.write(bytes([number]) * 50)
            await asyncio.sleep(0.002)
        writer.write_eof()
        assert await reader.read() == b"thanks"  # the connection is half-closed: the client can still receive
        return b"".join(pieces), len(pieces)

    whole, pieces = run(work)
    assert whole == b"".join(bytes([number]) * 50 for number in range(200))
    assert pieces > 200 * (1 + SPLIT_PROBABILITY / 2)


def test_a_stalled_reader_pauses_its_writer_and_an_abort_resets_the_connection() -> None:
    async def work(loop: VirtualLoop) -> tuple[bool, str, str]:
        served: list[str] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(5.0)
            served.append("read late")
            await reader.read(10)
            writer.transport.abort()

        await asyncio.start_server(serve, "10.0.0.1", 7, limit=1_000)
        reader, writer = await asyncio.open_connection("10.0.0.1", 7)
        writer.write(b"x" * 2_000_000)
        try:
            async with asyncio.timeout(2.0):
                await writer.drain()
            is_paused = False
        except TimeoutError:
            is_paused = True
        try:
            await reader.read()
            end = "closed"
        except ConnectionResetError:
            end = "reset"
        return is_paused, end, served[0]

    assert run(work) == (True, "reset", "read late")


def test_a_connect_is_refused_without_a_listener_and_waits_while_the_path_is_cut() -> None:
    async def work(loop: VirtualLoop) -> tuple[str, str, float]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"here")

        async def listen() -> None:
            await asyncio.start_server(serve, "10.0.0.1", 7)

        async def connect(port: int) -> bytes:
            reader, _ = await asyncio.open_connection("10.0.0.1", port)
            return await reader.readexactly(4)

        await loop.run_as("cache", listen())
        try:
            await loop.run_as("n1", connect(8))
            without_listener = "connected"
        except ConnectionRefusedError:
            without_listener = "refused"
        loop.network.cut_counts["n1", "cache"] += 1
        try:
            async with asyncio.timeout(0.4):
                await loop.run_as("n1", connect(7))
            over_cut_path = "connected"
        except TimeoutError:
            over_cut_path = "waiting"
        started_s = loop.time()
        loop.call_later(3.0, lambda: loop.network.cut_counts.clear())
        await loop.run_as("n1", connect(7))
        return without_listener, over_cut_path, loop.time() - started_s

    without_listener, over_cut_path, took_s = run(work)
    assert (without_listener, over_cut_path) == ("refused", "waiting") and 3.0 <= took_s < 5.0


# A director on the virtual loop.

# Between these numbers of requests, the responses of one cache do not arrive.
UNRESPONSIVE_FROM, UNRESPONSIVE_UNTIL = 200, 300


@dataclass(frozen=True)
class TrafficResult:
    """Counts of clients, caches and the director; status 0 stands for a wrong body, -1 for no response."""

    statuses: dict[int, int]
    served: dict[str, int]
    counters: dict[str, int]
    virtual_s: float


async def serve_traffic(loop: VirtualLoop, count: int = 600, per_s: float = 30.0) -> TrafficResult:
    """Runs a director, three caches, one of them unresponsive for a time, and clients with a request each."""
    served: Counter[str] = Counter()

    async def respond_after_delay(request: ReceivedRequest) -> None:
        served[request.server.uid] += 1
        await asyncio.sleep(loop.random.uniform(0.005, 0.05))
        await request.respond(200, BODY, X_Remark="mem")

    coordinator = Coordinator()
    await loop.run_as("coordinator", coordinator.start())
    caches = [
        ScriptedServer(respond_after_delay, uid=f"c{number}", host=f"10.2.0.{number}") for number in range(3)
    ]
    for cache in caches:
        await loop.run_as(cache.uid, cache.start())
    config = read_config({**config_for(caches, coordinator, SETTINGS), "listen": "10.1.0.1:7001"}, {})
    director = Director(config, loop, environment=loop.environment())
    await loop.run_as("n1", director.start())
    statuses: Counter[int] = Counter()
    clients = []
    for number in range(count):
        clients.append(loop.run_as("client", send_request(number, statuses)))
        await asyncio.sleep(loop.random.expovariate(per_s))
        if number == UNRESPONSIVE_FROM:
            loop.network.cut_counts["c1", "n1"] += 1
        if number == UNRESPONSIVE_UNTIL:
            loop.network.cut_counts["c1", "n1"] -= 1
    await asyncio.gather(*clients)
    counters = {name: value for name, value in director.counters.report().items() if "." in name}
    director.front.close()
    director.coordinator_watch.close()
    return TrafficResult(dict(statuses), dict(served), counters, loop.time())


async def send_request(number: int, statuses: Counter[int]) -> None:
    reader, writer = await asyncio.open_connection("10.1.0.1", 7001)
    writer.write(encode_request(f"/invoke/lot-page/a{number % 50:x}?nth=0", trace=f"{number:016x}"))
    try:
        response = await read_message(reader)
        is_correct = response.status != 200 or response.body == BODY
        statuses[response.status if is_correct else 0] += 1
    except (asyncio.IncompleteReadError, ConnectionError):
        statuses[-1] += 1
    writer.close()


def test_a_director_in_virtual_time_counts_the_same_outcomes_as_its_clients() -> None:
    result = run(serve_traffic, 3)
    statuses, served, counters = result.statuses, result.served, result.counters
    assert set(statuses) == {200, 503}, statuses  # neither a wrong body nor a connection without a response
    assert sum(statuses.values()) == 600, statuses
    assert statuses[200] == counters["downstream_requests.lot-page.completed"] > 450
    assert statuses[503] == counters["downstream_requests.lot-page.rejected"]  # while a cache is unresponsive
    assert counters["attempts.written"] == sum(served.values()) > counters["attempts.ok"]
    assert 0 < served["c1"] < min(served["c0"], served["c2"])  # the unresponsive cache got fewer requests


SCRIPT = "from tests.test_virtual import describe_run; print(describe_run(5))"


def describe_run(seed: int) -> str:
    """Returns the trace of a run and a digest of its result."""
    result, loop = run_virtually(seed, serve_traffic)
    return f"{loop.trace()} {loop.event_count} {hashlib.sha256(repr(result).encode()).hexdigest()}"


def test_a_seed_gives_the_same_trace_in_every_process_and_another_seed_a_different_one() -> None:
    here = describe_run(5)
    assert here == describe_run(5) and here != describe_run(6)
    for hash_seed in ("0", "1"):  # each gives sets of strings a different order
        completed = subprocess.run(
            [sys.executable, "-c", SCRIPT],
            cwd=Path(__file__).parent.parent,
            capture_output=True,
            text=True,
            timeout=120,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
        )
        assert completed.stdout.splitlines()[-1] == here

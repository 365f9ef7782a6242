"""Steps of the wall clock move no deadline; instants of other machines are converted conservatively."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from gladewalk.core.clocks import InstantConverter, UnixInstant
from gladewalk.director import Director
from gladewalk.rehearsal.director_harness import DirectorHarness, wait_until
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

from .server_scripts import BYTES, hit, hit_after, never_respond

HOUR_MS = 3_600_000.0
STEPS = (HOUR_MS, -HOUR_MS, 5_000.0, -5_000.0)
START_MS = 1_764_576_000_000.0


class SteppableWallClock:
    """The machine's wall clock, which a test can step."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.step_ms = 0.0
        real = time.time
        monkeypatch.setattr(time, "time", lambda: real() + self.step_ms / 1_000.0)


@pytest.fixture
def wall_clock(monkeypatch: pytest.MonkeyPatch) -> SteppableWallClock:
    return SteppableWallClock(monkeypatch)


@asynccontextmanager
async def open_request(
    cache: ScriptedServer, wait_ms: float
) -> AsyncIterator[tuple[Director, asyncio.StreamReader]]:
    """Yields a director with one request in flight to a cache."""
    async with DirectorHarness([cache]) as harness:
        assert harness.director is not None
        reader, writer = await harness.connect()
        writer.write(encode_request("/invoke/lot-page/a1", wait_ms=wait_ms))
        await wait_until(lambda: len(cache.received) == 1)
        yield harness.director, reader
        writer.close()


@pytest.mark.parametrize("step_ms", STEPS)
def test_a_response_in_flight_arrives_despite_a_step(wall_clock: SteppableWallClock, step_ms: float) -> None:
    async def scenario() -> tuple[int, bytes]:
        release = asyncio.Event()
        async with open_request(ScriptedServer(hit_after(release)), 3_000.0) as (_, reader):
            wall_clock.step_ms = step_ms
            await asyncio.sleep(0.3)
            release.set()
            message = await read_message(reader)
            return message.status, message.body

    assert asyncio.run(scenario()) == (200, BYTES)


@pytest.mark.parametrize("step_ms", STEPS)
def test_an_unresponsive_cache_delays_no_final_answer_after_a_step(
    wall_clock: SteppableWallClock, step_ms: float
) -> None:
    async def scenario() -> int:
        async with open_request(ScriptedServer(never_respond), 400.0) as (_, reader):
            wall_clock.step_ms = step_ms
            async with asyncio.timeout(0.4 + 0.5):
                return (await read_message(reader)).status

    assert asyncio.run(scenario()) == 502


@pytest.mark.parametrize("step_ms", STEPS)
def test_a_purge_after_a_step_is_respected(wall_clock: SteppableWallClock, step_ms: float) -> None:
    """The director's clock is wrong after a step: no copy from before the purge may be accepted."""

    async def scenario() -> ReceivedRequest:
        cache = ScriptedServer(hit)
        async with DirectorHarness([cache, ScriptedServer(hit, "o", "origin", "north")]) as harness:
            assert harness.director is not None
            feed = harness.director.endpoint_feed
            await wait_until(lambda: harness.coordinator.followed_from == [1])
            purged_ms = time.time() * 1_000.0
            wall_clock.step_ms = step_ms
            harness.coordinator.publish(evict={"ref": "a1", "unix_ms": purged_ms})
            await wait_until(lambda: feed.last_index == 2)
            await asyncio.sleep(0.05)
            await harness.fetch("/invoke/lot-page/a1")
            return cache.received[0]

    bound_ms = int(asyncio.run(scenario()).headers["no-older-than"])
    assert bound_ms < 5_000


def instant_converter(now_ms: list[float], wall_step_ms: list[float]) -> InstantConverter:
    clock: Callable[[], float] = lambda: now_ms[0]  # noqa: E731 - a clock that the test sets
    return InstantConverter(clock, lambda: UnixInstant(now_ms[0] + wall_step_ms[0]))


def test_an_instant_is_as_recent_as_either_clock_says_and_never_in_the_future() -> None:
    now_ms, wall_step_ms = [START_MS], [0.0]
    instants = instant_converter(now_ms, wall_step_ms)
    assert instants.to_steady(UnixInstant(START_MS - 700.0)) == START_MS - 700.0
    assert instants.to_steady(UnixInstant(START_MS + 900.0)) == START_MS
    wall_step_ms[0] = HOUR_MS  # it is unknown which clock is right
    assert instants.to_steady(UnixInstant(START_MS - 500.0)) == START_MS - 500.0
    assert instants.to_steady(UnixInstant(START_MS + HOUR_MS - 500.0)) == START_MS
    assert instants.current_instant() == UnixInstant(START_MS + HOUR_MS)
    wall_step_ms[0] = -HOUR_MS
    assert instants.to_steady(UnixInstant(START_MS - HOUR_MS - 400.0)) == START_MS - 400.0
    assert instants.current_instant() == UnixInstant(START_MS)


def test_an_instant_received_again_after_a_step_is_converted_to_the_same_time() -> None:
    now_ms, wall_step_ms = [START_MS], [0.0]
    instants = instant_converter(now_ms, wall_step_ms)
    first = instants.to_steady(UnixInstant(START_MS - 700.0))
    now_ms[0], wall_step_ms[0] = START_MS + 10_000.0, -HOUR_MS
    assert instants.to_steady(UnixInstant(START_MS - 700.0)) == first


def test_a_server_that_started_in_the_future_has_only_one_slow_start(wall_clock: SteppableWallClock) -> None:
    async def scenario() -> float:
        cache = ScriptedServer(hit, boot_ms=time.time() * 1_000.0 + HOUR_MS)
        async with DirectorHarness([cache]) as harness:
            assert harness.director is not None
            server = harness.director.exchange.dispatcher.state.registry.servers["c1"]
            return server.started_ms - harness.director.clock()

    assert asyncio.run(scenario()) <= 0.0

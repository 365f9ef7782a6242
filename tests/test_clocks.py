"""Steps of the wall clock move no deadline, and instants of other machines are converted to the safe side."""

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


class SteppedTime:
    """The machine's wall clock, which a test steps."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.step_ms = 0.0
        real = time.time
        monkeypatch.setattr(time, "time", lambda: real() + self.step_ms / 1_000.0)


@pytest.fixture
def wall(monkeypatch: pytest.MonkeyPatch) -> SteppedTime:
    return SteppedTime(monkeypatch)


@asynccontextmanager
async def open_request(
    cache: ScriptedServer, wait_ms: float
) -> AsyncIterator[tuple[Director, asyncio.StreamReader]]:
    """A director with one request on its way to a cache."""
    async with DirectorHarness([cache]) as world:
        assert world.director is not None
        reader, writer = await world.connect()
        writer.write(encode_request("/invoke/lot-page/a1", wait_ms=wait_ms))
        await wait_until(lambda: len(cache.received) == 1)
        yield world.director, reader
        writer.close()


@pytest.mark.parametrize("step_ms", STEPS)
def test_an_answer_on_its_way_outlives_a_step(wall: SteppedTime, step_ms: float) -> None:
    async def story() -> tuple[int, bytes]:
        release = asyncio.Event()
        async with open_request(ScriptedServer(hit_after(release)), 3_000.0) as (_, reader):
            wall.step_ms = step_ms
            await asyncio.sleep(0.3)
            release.set()
            message = await read_message(reader)
            return message.status, message.body

    assert asyncio.run(story()) == (200, BYTES)


@pytest.mark.parametrize("step_ms", STEPS)
def test_a_request_to_a_silent_cache_gets_its_answer_in_time(wall: SteppedTime, step_ms: float) -> None:
    async def story() -> int:
        async with open_request(ScriptedServer(never_respond), 400.0) as (_, reader):
            wall.step_ms = step_ms
            async with asyncio.timeout(0.4 + 0.5):
                return (await read_message(reader)).status

    assert asyncio.run(story()) == 502


@pytest.mark.parametrize("step_ms", STEPS)
def test_a_purge_after_a_step_is_heeded(wall: SteppedTime, step_ms: float) -> None:
    """The coordinator's clock is right; the director's was stepped: no copy of before is good enough."""

    async def story() -> ReceivedRequest:
        cache = ScriptedServer(hit)
        async with DirectorHarness([cache, ScriptedServer(hit, "o", "origin", "north")]) as world:
            assert world.director is not None
            feed = world.director.endpoint_feed
            await wait_until(lambda: world.coordinator.followed_from == [1])
            purged_ms = time.time() * 1_000.0
            wall.step_ms = step_ms
            world.coordinator.publish(evict={"ref": "a1", "unix_ms": purged_ms})
            await wait_until(lambda: feed.last_index == 2)
            await asyncio.sleep(0.05)
            await world.fetch("/invoke/lot-page/a1")
            return cache.received[0]

    bound_ms = int(asyncio.run(story()).headers["no-older-than"])
    assert bound_ms < 5_000


def converter(now: list[float], step: list[float]) -> InstantConverter:
    clock: Callable[[], float] = lambda: now[0]  # noqa: E731 - a clock that the test moves
    return InstantConverter(clock, lambda: UnixInstant(now[0] + step[0]))


def test_an_instant_is_as_young_as_either_clock_says_and_never_in_the_future() -> None:
    now, step = [START_MS], [0.0]
    instants = converter(now, step)
    assert instants.to_steady(UnixInstant(START_MS - 700.0)) == START_MS - 700.0
    assert instants.to_steady(UnixInstant(START_MS + 900.0)) == START_MS
    step[0] = HOUR_MS  # which clock is right is not known
    assert instants.to_steady(UnixInstant(START_MS - 500.0)) == START_MS - 500.0
    assert instants.to_steady(UnixInstant(START_MS + HOUR_MS - 500.0)) == START_MS
    assert instants.current_instant() == UnixInstant(START_MS + HOUR_MS)
    step[0] = -HOUR_MS
    assert instants.to_steady(UnixInstant(START_MS - HOUR_MS - 400.0)) == START_MS - 400.0
    assert instants.current_instant() == UnixInstant(START_MS)


def test_an_instant_that_is_told_again_after_a_step_is_the_same() -> None:
    now, step = [START_MS], [0.0]
    instants = converter(now, step)
    first = instants.to_steady(UnixInstant(START_MS - 700.0))
    now[0], step[0] = START_MS + 10_000.0, -HOUR_MS
    assert instants.to_steady(UnixInstant(START_MS - 700.0)) == first


def test_a_server_that_started_in_the_future_is_cold_for_one_ramp_only(wall: SteppedTime) -> None:
    async def story() -> float:
        cache = ScriptedServer(hit, boot_ms=time.time() * 1_000.0 + HOUR_MS)
        async with DirectorHarness([cache]) as world:
            assert world.director is not None
            server = world.director.exchange.dispatcher.state.registry.servers["c1"]
            return server.started_ms - world.director.clock()

    assert asyncio.run(story()) <= 0.0

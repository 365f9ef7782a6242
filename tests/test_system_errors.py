"""Errors of system calls: one of a connection stops nobody else, one of the process passes by itself."""

import asyncio
import errno
import socket
import time
from collections.abc import Callable
from typing import Any, cast

import pytest

from gladewalk.config.platform import Address, read_config
from gladewalk.director import Director
from gladewalk.net.accept_errors import CONNECTION_ERRORS, MAX_CONNECTION_ERRORS
from gladewalk.net.environment import Environment, Listener, open_listener
from gladewalk.net.listening import TRANSIENT_ERRORS
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import DirectorHarness, config_for, wait_until
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer
from gladewalk.upstream.connection_opener import LOCAL_ERRORS

from .server_scripts import BYTES, hit

PROCESS_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
REMOTE_ERRORS = (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ETIMEDOUT, errno.ECONNRESET)


class FaultyListener:
    """A listening socket whose `accept` fails by a script before it works again."""

    def __init__(self, listener: Listener, errors: list[int]) -> None:
        self.listener, self.errors, self.calls = listener, errors, 0

    def accept(self) -> tuple[Any, Any]:
        self.calls += 1
        if self.errors:
            raise OSError(self.errors.pop(0), "injected")
        return self.listener.accept()

    def close(self) -> None:
        self.listener.close()

    def getsockname(self) -> Any:
        return self.listener.getsockname()

    def fileno(self) -> int:
        return self.listener.fileno()


def break_listener(director: Director, errors: list[int]) -> FaultyListener:
    front = director.front
    assert front._listener is not None
    front._pause_accepting()
    front._listener = faulty = FaultyListener(front._listener, errors)
    front._resume_accepting()
    return faulty


async def answered_under(errors: list[int]) -> tuple[Director, FaultyListener]:
    """One request whose connection is accepted behind these errors."""
    async with DirectorHarness([ScriptedServer(hit)]) as world:
        assert world.director is not None
        faulty = break_listener(world.director, errors)
        status, _, body = await world.fetch()
        assert (status, body, errors) == (200, BYTES, [])
        await wait_until(lambda: not cast(Director, world.director).front.connections)
        assert world.director.front.descriptor_count == 0
        return world.director, faulty


@pytest.mark.parametrize("number", sorted(CONNECTION_ERRORS))
def test_an_error_of_one_connection_stops_no_other(number: int) -> None:
    async def story() -> None:
        director, _ = await answered_under([number])
        name = errno.errorcode[number]
        assert director.counters[f"clients.accept_failed.{name}"] == 1

    asyncio.run(story())


def test_the_connection_behind_a_failed_one_is_accepted_in_the_same_turn() -> None:
    async def story() -> int:
        async with DirectorHarness([ScriptedServer(hit)]) as world:
            assert world.director is not None
            front = world.director.front
            front._pause_accepting()
            _, writer = await world.connect()
            break_listener(world.director, [errno.ECONNABORTED] * 3)
            front._pause_accepting()
            front.accept()
            writer.close()
            return front.descriptor_count

    assert asyncio.run(story()) == 1


@pytest.mark.parametrize("number", PROCESS_ERRORS)
def test_an_error_of_the_process_passes_without_a_spin(number: int) -> None:
    async def story() -> None:
        async with DirectorHarness([ScriptedServer(hit)]) as world:
            assert world.director is not None
            errors = [number] * 100_000
            faulty = break_listener(world.director, errors)
            request = asyncio.ensure_future(world.fetch())
            await asyncio.sleep(0.5)
            assert 2 <= faulty.calls <= 40
            errors.clear()
            assert (await request)[0] == 200

    asyncio.run(story())


def test_an_error_of_a_connection_that_does_not_end_is_no_spin_either() -> None:
    async def story() -> int:
        async with DirectorHarness([ScriptedServer(hit)]) as world:
            assert world.director is not None
            errors = [errno.ECONNABORTED] * 100_000
            faulty = break_listener(world.director, errors)
            request = asyncio.ensure_future(world.fetch())
            await asyncio.sleep(0.5)
            calls = faulty.calls
            errors.clear()
            assert (await request)[0] == 200
            return calls

    assert asyncio.run(story()) <= 40 * (MAX_CONNECTION_ERRORS + 1)


def test_a_socket_option_that_fails_costs_no_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    errors = [errno.EINVAL]  # the front's own call; the event loop makes one after it

    def fail(self: socket.socket, *arguments: Any) -> None:
        if errors:
            raise OSError(errors.pop(), "injected")

    async def story() -> tuple[int, int, int]:
        async with DirectorHarness([ScriptedServer(hit)]) as world:
            assert world.director is not None
            front = world.director.front
            monkeypatch.setattr(FailingOptionSocket, "setsockopt", fail)
            assert front._listener is not None
            real = front._listener.accept

            def accept() -> tuple[Any, Any]:
                peer, address = real()
                return FailingOptionSocket(fileno=peer.detach()), address

            faulty = break_listener(world.director, [])
            faulty.accept = accept  # type: ignore[method-assign]
            status, _, _ = await world.fetch()
            await wait_until(lambda: not front.connections)
            return status, front.descriptor_count, front.counters["clients.option_failed.EINVAL"]

    assert asyncio.run(story()) == (200, 0, 1)


class FailingOptionSocket(socket.socket):
    """A socket whose options a test breaks."""


def failing_connects(numbers: list[int]) -> Callable[..., Any]:
    """Returns a `create_connection` that fails by a script before it works again."""
    loop = asyncio.get_running_loop()
    real = loop.create_connection

    async def create_connection(*arguments: Any, **more: Any) -> Any:
        if numbers:
            raise OSError(numbers.pop(0), "injected")
        return await real(*arguments, **more)

    return create_connection


@pytest.mark.parametrize("number", sorted(LOCAL_ERRORS) + list(REMOTE_ERRORS))
def test_a_connect_that_fails_is_retried_and_a_local_error_is_not_held_against_the_server(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        async with DirectorHarness([ScriptedServer(hit), ScriptedServer(hit, "c2")]) as world:
            assert world.director is not None
            await wait_until(lambda: world.coordinator.followed_from == [1])
            loop = asyncio.get_running_loop()
            reader, writer = await world.connect()
            monkeypatch.setattr(loop, "create_connection", failing_connects([number]))
            writer.write(encode_request("/invoke/lot-page/a1"))
            assert (await read_message(reader)).status == 200
            writer.close()
            registry = world.director.exchange.dispatcher.state.registry
            failures = sum(server.consecutive_failures for server in registry.servers.values())
            is_local = number in LOCAL_ERRORS
            assert (failures == 0) == is_local
            assert world.director.counters["caches.connects_failed_here"] == is_local

    asyncio.run(story())


def test_a_write_whose_connect_fails_here_is_sent_once(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story() -> int:
        cache = ScriptedServer(hit)
        async with DirectorHarness([cache, ScriptedServer(hit, "o", "origin", "north")]) as world:
            loop = asyncio.get_running_loop()
            reader, writer = await world.connect()
            monkeypatch.setattr(loop, "create_connection", failing_connects([errno.EMFILE]))
            writer.write(encode_request("/invoke/bid/b1", method="PUT", body=b"12 boxes"))
            assert (await read_message(reader)).status == 200
            writer.close()
            return len(cache.received)

    assert asyncio.run(story()) <= 1


def test_what_a_request_waited_at_the_listener_is_taken_off_its_time() -> None:
    """The deadline that a server is told is at most what the client has left."""

    async def story() -> tuple[float, float]:
        cache = ScriptedServer(hit)
        async with DirectorHarness([cache]) as world:
            assert world.director is not None
            front = world.director.front
            await wait_until(lambda: world.coordinator.followed_from == [1])
            faulty = break_listener(world.director, [errno.EMFILE] * 100_000)
            request = asyncio.ensure_future(world.fetch(wait_ms=2_000.0))
            await asyncio.sleep(0.6)
            faulty.errors.clear()
            assert (await request)[0] == 200
            told_ms = float(cache.received[0].headers["x-max-ms"])
            await wait_until(lambda: not front.connections)
            cache.received.clear()
            await world.fetch(wait_ms=2_000.0)
            return told_ms, float(cache.received[0].headers["x-max-ms"])

    told_ms, told_after_ms = asyncio.run(story())
    assert told_ms <= 2_000.0 - 600.0 + 100.0
    assert told_after_ms > 1_800.0


def test_what_a_request_waited_for_a_loop_that_was_held_up_is_taken_off_its_time() -> None:
    """Guards against a deadline told to a server that is longer than what the client has left."""

    async def story() -> float:
        cache = ScriptedServer(hit)
        async with DirectorHarness([cache]) as world:
            reader, writer = await world.connect()
            for held_up_s in (0.0, 0.5):
                writer.write(encode_request("/invoke/lot-page/a1", wait_ms=2_000.0))
                time.sleep(held_up_s)
                assert (await read_message(reader)).status == 200
            writer.close()
        return float(cache.received[-1].headers["x-max-ms"])

    assert asyncio.run(story()) <= 2_000.0 - 500.0 + 100.0


def test_what_a_request_waited_behind_another_one_is_taken_off_its_time() -> None:
    """Guards against a request that was sent ahead and has its whole time anew once its turn comes."""

    async def slow(request: ReceivedRequest) -> None:
        await asyncio.sleep(0.5)
        await hit(request)

    async def story() -> float:
        cache = ScriptedServer(slow)
        async with DirectorHarness([cache]) as world:
            reader, writer = await world.connect()
            writer.write(encode_request("/invoke/lot-page/a1", wait_ms=2_000.0) * 2)
            for _ in range(2):
                assert (await read_message(reader)).status == 200
            writer.close()
        return float(cache.received[-1].headers["x-max-ms"])

    assert asyncio.run(story()) <= 2_000.0 - 500.0 + 100.0


async def start_behind(errors: list[int]) -> tuple[Director, int]:
    """A director whose first attempts to listen fail by these errors, and how many attempts there were."""
    attempts = 0

    def listen(address: Address, backlog: int, inherited_fd: int | None) -> Listener:
        nonlocal attempts
        attempts += 1
        if errors:
            raise OSError(errors.pop(0), "injected")
        return open_listener(address, backlog, inherited_fd)

    coordinator = await Coordinator().start()
    config = read_config(config_for([], coordinator), {})
    director = Director(config, asyncio.get_running_loop(), environment=Environment(listen=listen))
    try:
        await director.start()
    finally:
        director.front.close()
        director.coordinator_watch.close()
        coordinator.stop()
    return director, attempts


@pytest.mark.parametrize("number", sorted(TRANSIENT_ERRORS))
def test_a_director_starts_though_the_system_lacks_a_socket_for_a_moment(number: int) -> None:
    """Guards against a director that ends at its start for an error that passes."""
    director, attempts = asyncio.run(start_behind([number] * 3))
    assert attempts == 4
    assert director.readiness.is_started
    assert sum(count for name, count in director.counters.items() if name.startswith("listen.failed.")) == 3


@pytest.mark.parametrize("number", [errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES])
def test_a_director_that_can_not_listen_where_it_is_told_to_ends_at_once(number: int) -> None:
    errors = [number] * 3
    with pytest.raises(OSError, match="injected"):
        asyncio.run(start_behind(errors))
    assert len(errors) == 2

"""Errors of system calls: those of one connection affect no other, those of the process are retried."""

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
    """A listening socket whose `accept` fails with the given errors before it works again."""

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


async def fetch_after_errors(errors: list[int]) -> tuple[Director, FaultyListener]:
    """Sends a request whose connection is accepted after these errors."""
    async with DirectorHarness([ScriptedServer(hit)]) as harness:
        assert harness.director is not None
        faulty = break_listener(harness.director, errors)
        status, _, body = await harness.fetch()
        assert (status, body, errors) == (200, BYTES, [])
        await wait_until(lambda: not cast(Director, harness.director).front.connections)
        assert harness.director.front.descriptor_count == 0
        return harness.director, faulty


@pytest.mark.parametrize("error_number", sorted(CONNECTION_ERRORS))
def test_an_error_of_one_connection_does_not_affect_others(error_number: int) -> None:
    async def scenario() -> None:
        director, _ = await fetch_after_errors([error_number])
        name = errno.errorcode[error_number]
        assert director.counters[f"clients.accept_failed.{name}"] == 1

    asyncio.run(scenario())


def test_the_connection_after_a_failed_one_is_accepted_in_the_same_iteration() -> None:
    async def scenario() -> int:
        async with DirectorHarness([ScriptedServer(hit)]) as harness:
            assert harness.director is not None
            front = harness.director.front
            front._pause_accepting()
            _, writer = await harness.connect()
            break_listener(harness.director, [errno.ECONNABORTED] * 3)
            front._pause_accepting()
            front.accept()
            writer.close()
            return front.descriptor_count

    assert asyncio.run(scenario()) == 1


@pytest.mark.parametrize("error_number", PROCESS_ERRORS)
def test_an_error_of_the_process_causes_no_busy_loop(error_number: int) -> None:
    async def scenario() -> None:
        async with DirectorHarness([ScriptedServer(hit)]) as harness:
            assert harness.director is not None
            errors = [error_number] * 100_000
            faulty = break_listener(harness.director, errors)
            request = asyncio.ensure_future(harness.fetch())
            await asyncio.sleep(0.5)
            assert 2 <= faulty.calls <= 40
            errors.clear()
            assert (await request)[0] == 200

    asyncio.run(scenario())


def test_endless_errors_of_connections_cause_no_busy_loop() -> None:
    async def scenario() -> int:
        async with DirectorHarness([ScriptedServer(hit)]) as harness:
            assert harness.director is not None
            errors = [errno.ECONNABORTED] * 100_000
            faulty = break_listener(harness.director, errors)
            request = asyncio.ensure_future(harness.fetch())
            await asyncio.sleep(0.5)
            calls = faulty.calls
            errors.clear()
            assert (await request)[0] == 200
            return calls

    assert asyncio.run(scenario()) <= 40 * (MAX_CONNECTION_ERRORS + 1)


def test_a_connection_is_served_despite_a_failed_socket_option(monkeypatch: pytest.MonkeyPatch) -> None:
    errors = [errno.EINVAL]  # for the front's own call; the event loop makes a call after it

    def fail(self: socket.socket, *arguments: Any) -> None:
        if errors:
            raise OSError(errors.pop(), "injected")

    async def scenario() -> tuple[int, int, int]:
        async with DirectorHarness([ScriptedServer(hit)]) as harness:
            assert harness.director is not None
            front = harness.director.front
            monkeypatch.setattr(FailingOptionSocket, "setsockopt", fail)
            assert front._listener is not None
            original = front._listener.accept

            def accept() -> tuple[Any, Any]:
                peer, address = original()
                return FailingOptionSocket(fileno=peer.detach()), address

            faulty = break_listener(harness.director, [])
            faulty.accept = accept  # type: ignore[method-assign]
            status, _, _ = await harness.fetch()
            await wait_until(lambda: not front.connections)
            return status, front.descriptor_count, front.counters["clients.option_failed.EINVAL"]

    assert asyncio.run(scenario()) == (200, 0, 1)


class FailingOptionSocket(socket.socket):
    """A socket whose `setsockopt` a test replaces."""


def failing_connects(error_numbers: list[int]) -> Callable[..., Any]:
    """Returns a `create_connection` that fails with the given errors before it works again."""
    loop = asyncio.get_running_loop()
    original = loop.create_connection

    async def create_connection(*arguments: Any, **more: Any) -> Any:
        if error_numbers:
            raise OSError(error_numbers.pop(0), "injected")
        return await original(*arguments, **more)

    return create_connection


@pytest.mark.parametrize("error_number", sorted(LOCAL_ERRORS) + list(REMOTE_ERRORS))
def test_a_failed_connect_is_retried_and_a_local_error_is_no_failure_of_the_server(
    error_number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with DirectorHarness([ScriptedServer(hit), ScriptedServer(hit, "c2")]) as harness:
            assert harness.director is not None
            await wait_until(lambda: harness.coordinator.followed_from == [1])
            loop = asyncio.get_running_loop()
            reader, writer = await harness.connect()
            monkeypatch.setattr(loop, "create_connection", failing_connects([error_number]))
            writer.write(encode_request("/invoke/lot-page/a1"))
            assert (await read_message(reader)).status == 200
            writer.close()
            registry = harness.director.exchange.dispatcher.state.registry
            failures = sum(server.consecutive_failures for server in registry.servers.values())
            is_local = error_number in LOCAL_ERRORS
            assert (failures == 0) == is_local
            assert harness.director.counters["caches.connects_failed_here"] == is_local

    asyncio.run(scenario())


def test_a_write_is_sent_once_after_a_local_connect_error(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> int:
        cache = ScriptedServer(hit)
        async with DirectorHarness([cache, ScriptedServer(hit, "o", "origin", "north")]) as harness:
            loop = asyncio.get_running_loop()
            reader, writer = await harness.connect()
            monkeypatch.setattr(loop, "create_connection", failing_connects([errno.EMFILE]))
            writer.write(encode_request("/invoke/bid/b1", method="PUT", body=b"12 boxes"))
            assert (await read_message(reader)).status == 200
            writer.close()
            return len(cache.received)

    assert asyncio.run(scenario()) <= 1


def test_the_wait_at_the_listener_reduces_the_remaining_time() -> None:
    """The remaining time that is sent to a server is at most what the client has left."""

    async def scenario() -> tuple[float, float]:
        cache = ScriptedServer(hit)
        async with DirectorHarness([cache]) as harness:
            assert harness.director is not None
            front = harness.director.front
            await wait_until(lambda: harness.coordinator.followed_from == [1])
            faulty = break_listener(harness.director, [errno.EMFILE] * 100_000)
            request = asyncio.ensure_future(harness.fetch(wait_ms=2_000.0))
            await asyncio.sleep(0.6)
            faulty.errors.clear()
            assert (await request)[0] == 200
            sent_wait_ms = float(cache.received[0].headers["x-max-ms"])
            await wait_until(lambda: not front.connections)
            cache.received.clear()
            await harness.fetch(wait_ms=2_000.0)
            return sent_wait_ms, float(cache.received[0].headers["x-max-ms"])

    sent_wait_ms, later_wait_ms = asyncio.run(scenario())
    assert sent_wait_ms <= 2_000.0 - 600.0 + 100.0
    assert later_wait_ms > 1_800.0


def test_the_wait_for_a_blocked_loop_reduces_the_remaining_time() -> None:
    """Guards against sending a server a longer remaining time than the client has left."""

    async def scenario() -> float:
        cache = ScriptedServer(hit)
        async with DirectorHarness([cache]) as harness:
            reader, writer = await harness.connect()
            for block_s in (0.0, 0.5):
                writer.write(encode_request("/invoke/lot-page/a1", wait_ms=2_000.0))
                time.sleep(block_s)
                assert (await read_message(reader)).status == 200
            writer.close()
        return float(cache.received[-1].headers["x-max-ms"])

    assert asyncio.run(scenario()) <= 2_000.0 - 500.0 + 100.0


def test_the_wait_for_an_earlier_pipelined_request_reduces_the_remaining_time() -> None:
    """Guards against a pipelined request that gets its whole time again when it is submitted."""

    async def slow(request: ReceivedRequest) -> None:
        await asyncio.sleep(0.5)
        await hit(request)

    async def scenario() -> float:
        cache = ScriptedServer(slow)
        async with DirectorHarness([cache]) as harness:
            reader, writer = await harness.connect()
            writer.write(encode_request("/invoke/lot-page/a1", wait_ms=2_000.0) * 2)
            for _ in range(2):
                assert (await read_message(reader)).status == 200
            writer.close()
        return float(cache.received[-1].headers["x-max-ms"])

    assert asyncio.run(scenario()) <= 2_000.0 - 500.0 + 100.0


async def start_after_errors(errors: list[int]) -> tuple[Director, int]:
    """Starts a director whose first attempts to listen fail with these errors; returns also their number."""
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


@pytest.mark.parametrize("error_number", sorted(TRANSIENT_ERRORS))
def test_a_director_starts_despite_temporary_errors_of_the_system(error_number: int) -> None:
    """Guards against a director that exits at its start because of a temporary error."""
    director, attempts = asyncio.run(start_after_errors([error_number] * 3))
    assert attempts == 4
    assert director.readiness.is_started
    assert sum(count for name, count in director.counters.items() if name.startswith("listen.failed.")) == 3


@pytest.mark.parametrize("error_number", [errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES])
def test_a_director_that_cannot_listen_at_its_address_exits_at_once(error_number: int) -> None:
    errors = [error_number] * 3
    with pytest.raises(OSError, match="injected"):
        asyncio.run(start_after_errors(errors))
    assert len(errors) == 2

"""Races of requests, disconnects and signals with a shutdown or a close, each forced to happen.

No test relies on timing. Bytes are written without an event-loop iteration in between, scripted caches delay
their responses until an event is set, and the end of the accepting time is called as its deadline calls it.
"""

import asyncio
import json
import os
import signal
import socket
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path

from gladewalk.director import EXIT_DELAY_MS, Director
from gladewalk.net.clients import FINAL_LINGER_MS
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for, wait_until
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import Http1Script, ReceivedRequest, ScriptedServer

from .program import start_program
from .server_scripts import BYTES, hit, hit_after, running

LARGE = bytes(range(256)) * 192  # more than the small socket buffers, less than what pauses a writer


def respond_in_two_pieces(release: asyncio.Event) -> Http1Script:
    """Returns a script that sends the second half of its response once `release` is set."""

    async def script(request: ReceivedRequest) -> None:
        request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabc")
        await release.wait()
        request.writer.write(b"def")

    return script


async def wait_past_exit_delay(director: Director) -> None:
    """Waits so long that a director that does not wait for open requests would have exited."""
    start = director.clock()
    await wait_until(lambda: director.clock() > start + FINAL_LINGER_MS + 10 * EXIT_DELAY_MS)


async def expect_last_response(reader: asyncio.StreamReader) -> None:
    """Reads a complete response with `Connection: close`, and then the end of the connection."""
    first, fields, body = await read_message(reader)
    assert (first.split(" ")[1], fields["connection"], body) == ("200", "close", BYTES)
    assert await reader.read() == b""


def send_without_loop(client: socket.socket, data: bytes = b"") -> None:
    """Sends a request without an event-loop iteration, so that it stays unread in the socket's buffer."""
    client.sendall(data or encode_request("/invoke/lot-page/a1"))


async def open_reader_and_writer(client: socket.socket) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    client.setblocking(False)
    return await asyncio.open_connection(sock=client)


class Shutdown(unittest.IsolatedAsyncioTestCase):
    """After the accepting time of a shutdown, open requests get their responses before the process exits."""

    async def check_request_at_the_end(self, prepare: Callable[[Director, socket.socket], None]) -> None:
        """Calls `prepare` with a client's socket just before the accepting time ends; expects a response."""
        release = asyncio.Event()
        cache = ScriptedServer(hit_after(release))
        async with running(cache) as (_, director):
            client = socket.create_connection(director.front.address)
            prepare(director, client)
            director._stop_accepting()
            reader, writer = await open_reader_and_writer(client)
            await wait_until(lambda: len(cache.received) == 1)
            await wait_past_exit_delay(director)
            assert not director._ended.done()
            release.set()
            await expect_last_response(reader)
            writer.close()
            await director._ended

    async def test_a_request_on_an_unaccepted_connection_gets_a_response(self) -> None:
        await self.check_request_at_the_end(lambda director, client: send_without_loop(client))

    async def test_a_request_on_a_connection_accepted_but_not_set_up_gets_a_response(self) -> None:
        def prepare(director: Director, client: socket.socket) -> None:
            send_without_loop(client)
            director.front.accept()

        await self.check_request_at_the_end(prepare)

    async def test_an_unread_request_gets_a_response(self) -> None:
        cache = ScriptedServer(hit)
        async with running(cache) as (harness, director):
            reader, writer = await harness.connect()
            writer.write(encode_request("/invoke/lot-page/a1"))
            await read_message(reader)
            os.write(writer.get_extra_info("socket").fileno(), encode_request("/invoke/lot-page/a2"))
            director._stop_accepting()
            await expect_last_response(reader)
            writer.close()
            await director._ended

    async def test_a_partial_request_may_be_completed_within_its_time(self) -> None:
        async with running(ScriptedServer(hit)) as (harness, director):
            reader, writer = await harness.connect()
            message = encode_request("/invoke/lot-page/a1")
            writer.write(message[:-9])
            await wait_until(
                lambda: any(connection.has_partial_request for connection in director.front.awaiting)
            )
            director._stop_accepting()
            await wait_past_exit_delay(director)
            assert not director._ended.done()
            writer.write(message[-9:])
            assert " 200 " in (await read_message(reader))[0]
            assert await reader.read() == b""
            writer.close()
            await director._ended

    async def test_an_idle_connection_is_closed_and_a_request_sent_meanwhile_is_not_accepted(self) -> None:
        cache = ScriptedServer(hit)
        async with running(cache) as (harness, director):
            reader, writer = await harness.connect()
            writer.write(encode_request("/invoke/lot-page/a1"))
            await read_message(reader)
            director._stop_accepting()
            writer.write(encode_request("/invoke/lot-page/a2"))
            assert await reader.read() == b""  # closed, and not reset
            writer.close()
            await director._ended
            assert (len(cache.received), director.counters["requests.taken"]) == (1, 1)

    async def test_a_client_that_sends_nothing_does_not_delay_the_exit(self) -> None:
        async with running(ScriptedServer(hit)) as (harness, director):
            clients = [await harness.connect() for _ in range(3)]
            await wait_until(lambda: len(director.front.awaiting) == 3)
            director._stop_accepting()
            await director._ended
            for reader, writer in clients:
                assert await reader.read() == b""
                writer.close()

    async def test_a_slowly_read_response_is_sent_completely(self) -> None:
        async def large(request: ReceivedRequest) -> None:
            await request.respond(200, LARGE)

        async with running(ScriptedServer(large)) as (_, director):
            front, client = director.front, socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.setblocking(False)
            await asyncio.get_running_loop().sock_connect(client, front.address)
            await wait_until(lambda: len(front.connections) == 1)
            (connection,) = front.connections
            assert connection.transport is not None
            sock = connection.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            send_without_loop(client)
            await wait_until(lambda: director.counters["answers.served"] == 1)
            assert connection.transport.get_write_buffer_size() > 0  # served, but not written completely
            front._evict_one()
            assert not connection.is_evicted
            director._stop_accepting()
            await wait_past_exit_delay(director)
            assert not director._ended.done()
            reader, writer = await open_reader_and_writer(client)
            assert (await read_message(reader))[2] == LARGE
            writer.close()
            await director._ended


class ClosedConnections(unittest.IsolatedAsyncioTestCase):
    """Connections that are closed by either side while a request or response is in flight."""

    async def test_a_request_after_the_last_response_is_not_accepted_and_causes_no_reset(self) -> None:
        release = asyncio.Event()
        cache = ScriptedServer(respond_in_two_pieces(release))
        async with running(cache) as (harness, director):
            director.readiness.start_drain(director.clock())
            reader, writer = await harness.connect()
            writer.write(encode_request("/invoke/lot-page/a1"))
            release.set()
            assert b"Connection: close" in await reader.readuntil(b"\r\n\r\n")
            writer.write(encode_request("/invoke/lot-page/a2"))
            (connection,) = director.front.connections
            await wait_until(connection.is_input_empty)  # the second request was received and read
            assert await reader.read() == b"abcdef"
            writer.close()
            assert (len(cache.received), director.counters["requests.taken"]) == (1, 1)

    async def test_a_disconnect_is_noticed_while_reading_is_paused(self) -> None:
        release = asyncio.Event()
        cache = ScriptedServer(hit_after(release))
        async with running(cache) as (harness, director):
            _, writer = await harness.connect()
            for name in ("a1", "a2", "a3"):
                writer.write(encode_request(f"/invoke/lot-page/{name}"))
            connections = director.front.connections
            await wait_until(
                lambda: any(c.is_reading_paused for c in connections) and len(cache.received) == 1
            )
            writer.close()
            # The limit is below the request's own deadline, which would also end it.
            await wait_until(lambda: not director.exchange.open_requests, 2.0)
            assert director.counters["requests.left_by_client"] == 1
            assert (len(cache.received), director.counters["requests.taken"]) == (1, 1)

    async def test_an_unread_request_of_a_disconnected_client_is_not_forwarded(self) -> None:
        cache = ScriptedServer(hit)
        async with running(cache) as (_, director):
            with socket.create_connection(director.front.address) as client:
                # The client disconnects before the next event-loop iteration accepts its connection.
                send_without_loop(client)
            await wait_until(lambda: director.counters["clients.left_unread"] == 1)
            await wait_until(lambda: not director.front.connections)
            assert (len(cache.received), director.counters["requests.taken"]) == (0, 0)
            assert director.front.descriptor_count == 0

    async def test_a_buffered_request_of_a_disconnected_client_is_not_forwarded(self) -> None:
        cache = ScriptedServer(hit)
        async with running(cache, coordinator=Coordinator(responses_allowed=asyncio.Event())) as (
            harness,
            director,
        ):
            _, writer = await harness.connect()
            writer.write(encode_request("/invoke/lot-page/a1"))
            await wait_until(lambda: len(director.exchange.buffered_requests or ()) == 1)
            writer.close()
            await wait_until(lambda: not director.front.connections)
            assert harness.coordinator.responses_allowed is not None
            harness.coordinator.responses_allowed.set()
            await wait_until(lambda: director.exchange.buffered_requests is None)
            await wait_until(lambda: not director.exchange.open_requests)
            assert (len(cache.received), director.counters["attempts.written"]) == (0, 0)

    async def test_no_interim_response_is_sent_within_another_response(self) -> None:
        release = asyncio.Event()
        async with running(ScriptedServer(respond_in_two_pieces(release))) as (harness, director):
            reader, writer = await harness.connect()
            writer.write(encode_request("/invoke/lot-page/a1"))
            await wait_until(lambda: len(director.front.connections) == 1)
            (connection,) = director.front.connections
            await wait_until(lambda: connection.open_number is not None)
            second_request = encode_request("/invoke/bid/b1", method="PUT", body=b"12", Expect="100-continue")
            writer.write(second_request[:-2])
            await wait_until(lambda: connection.has_partial_request and connection.has_complete_head)
            release.set()
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 OK\r\n")
            assert await reader.readexactly(6) == b"abcdef"
            writer.close()


class SignalHandling(unittest.IsolatedAsyncioTestCase):
    """A signal is handled whenever it is received."""

    async def test_a_signal_received_while_the_configuration_is_read_is_handled_later(self) -> None:
        cache, coordinator = await ScriptedServer(hit).start(), await Coordinator().start()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "config.json")
            os.mkfifo(path)
            program = await start_program(path)
            pipe = await asyncio.to_thread(open, path, "w")  # returns once the program has opened it to read
            config = json.dumps(config_for([cache], coordinator))
            Path(folder, "next").write_text(config)
            os.replace(Path(folder, "next"), path)
            program.send(signal.SIGHUP, signal.SIGUSR1)
            with pipe:
                pipe.write(config)
            events: list[str] = []
            while "serving" not in events:
                line = await program.log.readline()
                assert line, f"ended with {program.process.returncode} after {events}"
                events.append(json.loads(line)["event"])
            program.send(signal.SIGTERM)
            exit_code, rest = await program.finish()
            events += [json.loads(line)["event"] for line in rest]
            assert exit_code == 0
            assert "configuration taken" in events
            assert "stopping" in events
        cache.stop()
        coordinator.stop()

    async def test_a_signal_received_after_the_shutdown_does_not_change_the_exit(self) -> None:
        blocked_before = signal.pthread_sigmask(signal.SIG_BLOCK, ())
        self.addCleanup(signal.pthread_sigmask, signal.SIG_SETMASK, blocked_before)
        async with running(ScriptedServer(hit)) as (_, director):
            director._ended.set_result(None)
            asyncio.get_running_loop().call_soon(director.stop)
            director.start = do_nothing  # type: ignore[method-assign]  # `running` has started the director
            await director.run()
            mask = signal.pthread_sigmask(signal.SIG_BLOCK, ())
            assert {signal.SIGHUP, signal.SIGTERM} <= mask - blocked_before
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR1):
                asyncio.get_running_loop().remove_signal_handler(number)


async def do_nothing() -> None:
    pass

"""What comes between two lines: requests, ends and signals that cross a stop or a close, each forced.

Nothing is waited for by guess: bytes are written with no turn of the loop in between, scripted caches hold
their answers until told, and the end of the accepting time is called as its deadline calls it.
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

LARGE = bytes(range(256)) * 192  # more than small socket buffers hold, less than makes a writer wait


def in_two_pieces(release: asyncio.Event) -> Http1Script:
    """A script whose answer goes on once `release` is set."""

    async def script(heard: ReceivedRequest) -> None:
        heard.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabc")
        await release.wait()
        heard.writer.write(b"def")

    return script


async def long_after(director: Director) -> None:
    """So long that a director which does not wait would have ended."""
    start = director.clock()
    await wait_until(lambda: director.clock() > start + FINAL_LINGER_MS + 10 * EXIT_DELAY_MS)


async def expect_last_answer(reader: asyncio.StreamReader) -> None:
    """A complete answer, which says that it is the last, and then the connection's end."""
    first, fields, body = await read_message(reader)
    assert (first.split(" ")[1], fields["connection"], body) == ("200", "close", BYTES)
    assert await reader.read() == b""


def ask_at_once(client: socket.socket, data: bytes = b"") -> None:
    """Written with no turn of the loop in between: it lies with the system, unread."""
    client.sendall(data or encode_request("/invoke/lot-page/a1"))


async def stream_of(client: socket.socket) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    client.setblocking(False)
    return await asyncio.open_connection(sock=client)


class Stop(unittest.IsolatedAsyncioTestCase):
    """Once the time for accepting is over: who is here is answered, and the process ends after that."""

    async def asked_at_the_end(self, before: Callable[[Director, socket.socket], None]) -> None:
        """`before` is called in the moment in which the accepting time ends, with a client's socket."""
        release = asyncio.Event()
        cache = ScriptedServer(hit_after(release))
        async with running(cache) as (_, director):
            client = socket.create_connection(director.front.address)
            before(director, client)
            director._stop_accepting()
            reader, writer = await stream_of(client)
            await wait_until(lambda: len(cache.received) == 1)
            await long_after(director)
            assert not director._ended.done()
            release.set()
            await expect_last_answer(reader)
            writer.close()
            await director._ended

    async def test_who_waits_unaccepted_is_answered(self) -> None:
        await self.asked_at_the_end(lambda director, client: ask_at_once(client))

    async def test_who_is_accepted_but_not_set_up_is_answered(self) -> None:
        def before(director: Director, client: socket.socket) -> None:
            ask_at_once(client)
            director.front.accept()

        await self.asked_at_the_end(before)

    async def test_a_request_that_lies_unread_is_answered(self) -> None:
        cache = ScriptedServer(hit)
        async with running(cache) as (world, director):
            reader, writer = await world.connect()
            writer.write(encode_request("/invoke/lot-page/a1"))
            await read_message(reader)
            os.write(writer.get_extra_info("socket").fileno(), encode_request("/invoke/lot-page/a2"))
            director._stop_accepting()
            await expect_last_answer(reader)
            writer.close()
            await director._ended

    async def test_half_a_request_has_its_time_to_come_whole(self) -> None:
        async with running(ScriptedServer(hit)) as (world, director):
            reader, writer = await world.connect()
            whole = encode_request("/invoke/lot-page/a1")
            writer.write(whole[:-9])
            await wait_until(
                lambda: any(connection.has_partial_request for connection in director.front.awaiting)
            )
            director._stop_accepting()
            await long_after(director)
            assert not director._ended.done()
            writer.write(whole[-9:])
            assert " 200 " in (await read_message(reader))[0]
            assert await reader.read() == b""
            writer.close()
            await director._ended

    async def test_who_rests_sees_an_end_and_what_crosses_it_is_not_taken(self) -> None:
        cache = ScriptedServer(hit)
        async with running(cache) as (world, director):
            reader, writer = await world.connect()
            writer.write(encode_request("/invoke/lot-page/a1"))
            await read_message(reader)
            director._stop_accepting()
            writer.write(encode_request("/invoke/lot-page/a2"))
            assert await reader.read() == b""  # an end, and no reset
            writer.close()
            await director._ended
            assert (len(cache.received), director.counters["requests.taken"]) == (1, 1)

    async def test_who_says_nothing_more_holds_no_process_up(self) -> None:
        async with running(ScriptedServer(hit)) as (world, director):
            clients = [await world.connect() for _ in range(3)]
            await wait_until(lambda: len(director.front.awaiting) == 3)
            director._stop_accepting()
            await director._ended
            for reader, writer in clients:
                assert await reader.read() == b""
                writer.close()

    async def test_an_answer_that_its_client_reads_slowly_comes_whole(self) -> None:
        async def large(heard: ReceivedRequest) -> None:
            await heard.answer(200, LARGE)

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
            ask_at_once(client)
            await wait_until(lambda: director.counters["answers.served"] == 1)
            assert connection.transport.get_write_buffer_size() > 0  # owed to nobody's knowledge
            front._evict_one()
            assert not connection.is_evicted
            director._stop_accepting()
            await long_after(director)
            assert not director._ended.done()
            reader, writer = await stream_of(client)
            assert (await read_message(reader))[2] == LARGE
            writer.close()
            await director._ended


class Ends(unittest.IsolatedAsyncioTestCase):
    """Ends of connections, from either side, that cross requests and answers."""

    async def test_a_request_behind_a_last_answer_is_not_taken_and_resets_nothing(self) -> None:
        release = asyncio.Event()
        cache = ScriptedServer(in_two_pieces(release))
        async with running(cache) as (world, director):
            director.readiness.start_drain(director.clock())
            reader, writer = await world.connect()
            writer.write(encode_request("/invoke/lot-page/a1"))
            release.set()
            assert b"Connection: close" in await reader.readuntil(b"\r\n\r\n")
            writer.write(encode_request("/invoke/lot-page/a2"))
            (connection,) = director.front.connections
            await wait_until(connection.is_input_empty)  # it has come, and been read
            assert await reader.read() == b"abcdef"
            writer.close()
            assert (len(cache.received), director.counters["requests.taken"]) == (1, 1)

    async def test_a_client_that_leaves_is_seen_though_it_is_not_read(self) -> None:
        release = asyncio.Event()
        cache = ScriptedServer(hit_after(release))
        async with running(cache) as (world, director):
            _, writer = await world.connect()
            for name in ("a1", "a2", "a3"):
                writer.write(encode_request(f"/invoke/lot-page/{name}"))
            connections = director.front.connections
            await wait_until(
                lambda: any(c.is_reading_paused for c in connections) and len(cache.received) == 1
            )
            writer.close()
            await wait_until(lambda: not director.exchange.open_requests, 2.0)  # and not once its time is up
            assert director.counters["requests.left_by_client"] == 1
            assert (len(cache.received), director.counters["requests.taken"]) == (1, 1)

    async def test_a_request_whose_client_has_left_before_it_was_read_is_not_sent_on(self) -> None:
        cache = ScriptedServer(hit)
        async with running(cache) as (_, director):
            with socket.create_connection(director.front.address) as client:
                ask_at_once(client)  # it waits unaccepted, and is closed before the loop's next turn
            await wait_until(lambda: director.counters["clients.left_unread"] == 1)
            await wait_until(lambda: not director.front.connections)
            assert (len(cache.received), director.counters["requests.taken"]) == (0, 0)
            assert director.front.descriptor_count == 0

    async def test_a_client_that_leaves_while_its_request_is_held_or_dialled_is_not_sent_on(self) -> None:
        cache = ScriptedServer(hit)
        async with running(cache, coordinator=Coordinator(may_answer=asyncio.Event())) as (world, director):
            _, writer = await world.connect()
            writer.write(encode_request("/invoke/lot-page/a1"))
            await wait_until(lambda: len(director.exchange.buffered_requests or ()) == 1)
            writer.close()
            await wait_until(lambda: not director.front.connections)
            assert world.coordinator.may_answer is not None
            world.coordinator.may_answer.set()
            await wait_until(lambda: director.exchange.buffered_requests is None)
            await wait_until(lambda: not director.exchange.open_requests)
            assert (len(cache.received), director.counters["attempts.written"]) == (0, 0)

    async def test_nothing_is_said_within_another_answer(self) -> None:
        release = asyncio.Event()
        async with running(ScriptedServer(in_two_pieces(release))) as (world, director):
            reader, writer = await world.connect()
            writer.write(encode_request("/invoke/lot-page/a1"))
            await wait_until(lambda: len(director.front.connections) == 1)
            (connection,) = director.front.connections
            await wait_until(lambda: connection.open_number is not None)
            behind = encode_request("/invoke/bid/b1", method="PUT", body=b"12", Expect="100-continue")
            writer.write(behind[:-2])
            await wait_until(lambda: connection.has_partial_request and connection.has_complete_head)
            release.set()
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 OK\r\n")
            assert await reader.readexactly(6) == b"abcdef"
            writer.close()


class Signals(unittest.IsolatedAsyncioTestCase):
    """A signal finds its handler, whenever it comes."""

    async def test_what_comes_while_the_configuration_is_read_waits_for_its_handler(self) -> None:
        cache, coordinator = await ScriptedServer(hit).start(), await Coordinator().start()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "config.json")
            os.mkfifo(path)
            program = await start_program(path)
            pipe = await asyncio.to_thread(open, path, "w")  # opened: it is about to read
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

    async def test_what_comes_once_a_stop_is_through_does_not_end_the_process_otherwise(self) -> None:
        before = signal.pthread_sigmask(signal.SIG_BLOCK, ())
        self.addCleanup(signal.pthread_sigmask, signal.SIG_SETMASK, before)
        async with running(ScriptedServer(hit)) as (_, director):
            director._ended.set_result(None)
            asyncio.get_running_loop().call_soon(director.stop)
            director.start = _nothing  # type: ignore[method-assign]  # it has started
            await director.run()
            mask = signal.pthread_sigmask(signal.SIG_BLOCK, ())
            assert {signal.SIGHUP, signal.SIGTERM} <= mask - before
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR1):
                asyncio.get_running_loop().remove_signal_handler(number)


async def _nothing() -> None:
    pass

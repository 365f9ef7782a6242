"""Bytes without end: what a client or a cache may make a director hold is bounded, and costs nobody else."""

import asyncio
import contextlib
import socket
import unittest

from gladewalk.core.response_buffer import MAX_OBJECT_BYTES
from gladewalk.director import Director
from gladewalk.net.connection import ClientConnection
from gladewalk.net.request_reader import MAX_HEADER_BYTES
from gladewalk.net.sockets import MAX_FRAMING_BYTES
from gladewalk.rehearsal.director_harness import wait_until
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer
from gladewalk.upstream.protocol_fields import MAX_HEAD_BYTES

from .server_scripts import hit, running

PIECE = b"x" * 4096
AHEAD = 8  # requests that a client sends without reading
LARGE = bytes(48 * 1024)  # more than small socket buffers hold, less than makes a writer wait by itself


async def large(heard: ReceivedRequest) -> None:
    await heard.answer(200, LARGE)


def ahead(number: int, wait_ms: float) -> bytes:
    asks = (
        encode_request(f"/invoke/lot-page/{n + 1:x}", trace=f"{n + 1:016x}", wait_ms=wait_ms)
        for n in range(number)
    )
    return b"".join(asks)


class FromClients(unittest.IsolatedAsyncioTestCase):
    async def endless(self, start: bytes, piece: bytes, most: int, status: int) -> None:
        """`piece` comes again and again behind `start`: the client is told `status` before `most` bytes."""
        async with running(ScriptedServer(hit)) as (world, director):
            reader, writer = await world.connect()
            writer.write(start)
            sent = 0
            answer = asyncio.ensure_future(read_message(reader))
            while not answer.done() and sent <= 4 * most:
                writer.write(piece)
                sent += len(piece)
                with contextlib.suppress(ConnectionError):
                    await writer.drain()
                (connection,) = director.front.connections
                await wait_until(lambda c=connection: c.is_ending or c.is_input_empty())  # type: ignore[misc]
                await asyncio.sleep(0)
            assert sent <= most + 2 * len(piece)
            assert f" {status} " in (await answer)[0]
            assert director.counters[f"clients.bad_input_{status}"] == 1
            writer.close()
            assert (await world.fetch())[0] == 200

    async def test_a_trailer_without_end(self) -> None:
        head = encode_request("/invoke/bid/b1", method="PUT", transfer_encoding="chunked")
        most = MAX_FRAMING_BYTES
        await self.endless(head + b"2\r\nab\r\n0\r\nX: ", PIECE, most, 413)

    async def test_many_fields_of_a_trailer(self) -> None:
        head = encode_request("/invoke/bid/b1", method="PUT", transfer_encoding="chunked")
        await self.endless(head + b"2\r\nab\r\n0\r\n", b"x-y: z\r\n" * 500, 2 * MAX_HEADER_BYTES, 431)

    async def test_a_chunks_extension_without_end(self) -> None:
        head = encode_request("/invoke/bid/b1", method="PUT", transfer_encoding="chunked")
        most = MAX_FRAMING_BYTES
        await self.endless(head + b"2;", PIECE, most, 413)

    async def unread(self, director: Director, ahead: bytes) -> tuple[socket.socket, ClientConnection]:
        """A client that asks all of `ahead` and reads nothing, with small buffers between the two."""
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.setblocking(False)
        await asyncio.get_running_loop().sock_connect(client, director.front.address)
        await wait_until(lambda: len(director.front.connections) == 1)
        (connection,) = director.front.connections
        assert connection.transport is not None
        sock = connection.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.sendall(ahead)
        return client, connection

    async def test_answers_that_a_client_leaves_unread_are_not_made_ahead(self) -> None:
        """A client that asks on and on and reads nothing: its next request waits until it reads."""
        cache = ScriptedServer(large)
        async with running(cache) as (_, director):
            client, connection = await self.unread(director, ahead(AHEAD, 3000.0))
            await wait_until(
                lambda: director.counters["answers.served"] >= 2 and not director.exchange.open_requests
            )
            assert connection.transport is not None
            assert connection.transport.get_write_buffer_size() < 3 * len(LARGE)
            assert len(cache.received) < AHEAD
            reader, writer = await asyncio.open_connection(sock=client)
            for _ in range(AHEAD):
                assert (await read_message(reader))[2] == LARGE
            assert director.counters["answers.served"] == AHEAD
            writer.close()

    async def test_who_never_reads_is_parted_from_once_its_patience_is_over(self) -> None:
        async with running(ScriptedServer(large)) as (_, director):
            client, _ = await self.unread(director, ahead(AHEAD, 400.0))
            await wait_until(lambda: director.counters["clients.never_read"] == 1)
            await wait_until(lambda: not director.front.connections)
            assert director.front.descriptor_count == 0
            client.close()

    async def test_half_a_request_behind_answers_unread_ends_with_its_time(self) -> None:
        async with running(ScriptedServer(large)) as (_, director):
            front, real = director.front, director.front.clock
            client, connection = await self.unread(director, ahead(3, 3000.0) + ahead(1, 3000.0)[:-9])
            await wait_until(
                lambda: director.counters["answers.served"] >= 2 and not director.exchange.open_requests
            )
            assert connection.is_writing_paused
            connection.pipelined.clear()  # as once the last whole one has been answered, and reading goes on
            connection.is_reading_paused, connection.has_partial_request = False, True
            connection.request_began_ms = real()
            front._paused.clear()
            front.update_state(connection)
            front.clock = lambda: real() + front.request_timeout_ms + 1.0
            front.sweep()  # as its deadline calls it
            await wait_until(lambda: not front.connections)
            assert (front.descriptor_count, director.counters["clients.came_too_slowly"]) == (0, 1)
            client.close()


class FromCaches(unittest.IsolatedAsyncioTestCase):
    async def spoilt(self, start: bytes, piece: bytes) -> None:
        sent = [0]

        async def endless(heard: ReceivedRequest) -> None:
            heard.writer.write(start)
            with contextlib.suppress(ConnectionError):
                while sent[0] <= 8 * MAX_OBJECT_BYTES:
                    heard.writer.write(piece)
                    sent[0] += len(piece)
                    await heard.writer.drain()

        async with running(ScriptedServer(endless)) as (world, director):
            reader, writer = await world.connect()
            writer.write(encode_request("/invoke/lot-page/a1", Connection="close"))
            with contextlib.suppress(ConnectionError):
                while await reader.read(65536):
                    pass
            assert director.counters["caches.unreadable_answer"] >= 1
            counters = director.counters  # cut once it had begun, else failed or refused
            ends = ("answers.cut", "answers.failed", "answers.refused")
            assert [counters["answers.served"], sum(counters[end] for end in ends)] == [0, 1]
            writer.close()

    async def test_a_trailer_without_end(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX: "
        await self.spoilt(head, PIECE)

    async def test_many_fields_of_a_trailer(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"
        await self.spoilt(head, b"".join(b"x-%d: z\r\n" % n for n in range(500)))

    async def test_a_chunks_extension_without_end(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;"
        await self.spoilt(head, PIECE)

    async def test_small_chunks_are_an_answer_like_any_other(self) -> None:
        async def small(heard: ReceivedRequest) -> None:
            heard.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            heard.writer.write(b"1\r\nx\r\n" * MAX_HEAD_BYTES + b"0\r\n\r\n")

        async with running(ScriptedServer(small)) as (world, _):
            reader, writer = await world.connect()
            writer.write(encode_request("/invoke/lot-page/a1"))
            await reader.readuntil(b"\r\n\r\n")
            whole = 0
            while size := int((await reader.readline()).strip(), 16):
                whole += len((await reader.readexactly(size + 2))[:-2])
            assert whole == MAX_HEAD_BYTES
            writer.close()

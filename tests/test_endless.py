"""Endless input of a client or a cache: what a director buffers of it is limited; others are unaffected."""

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
PIPELINED = 8  # requests that a client sends without reading
LARGE = bytes(48 * 1024)  # exceeds small socket buffers, but alone does not make a writer wait


async def large(request: ReceivedRequest) -> None:
    await request.respond(200, LARGE)


def encode_pipelined(number: int, wait_ms: float) -> bytes:
    messages = (
        encode_request(f"/invoke/lot-page/{n + 1:x}", trace=f"{n + 1:016x}", wait_ms=wait_ms)
        for n in range(number)
    )
    return b"".join(messages)


class FromClients(unittest.IsolatedAsyncioTestCase):
    async def check_endless_input(self, start: bytes, piece: bytes, max_bytes: int, status: int) -> None:
        """Sends `start`, then `piece` repeatedly: a `status` response ends it at about `max_bytes`."""
        async with running(ScriptedServer(hit)) as (harness, director):
            reader, writer = await harness.connect()
            writer.write(start)
            sent = 0
            response = asyncio.ensure_future(read_message(reader))
            while not response.done() and sent <= 4 * max_bytes:
                writer.write(piece)
                sent += len(piece)
                with contextlib.suppress(ConnectionError):
                    await writer.drain()
                (connection,) = director.front.connections
                await wait_until(lambda c=connection: c.is_ending or c.is_input_empty())  # type: ignore[misc]
                await asyncio.sleep(0)
            assert sent <= max_bytes + 2 * len(piece)
            assert f" {status} " in (await response)[0]
            assert director.counters[f"clients.bad_input_{status}"] == 1
            writer.close()
            assert (await harness.fetch())[0] == 200

    async def test_an_endless_trailer(self) -> None:
        head = encode_request("/invoke/bid/b1", method="PUT", transfer_encoding="chunked")
        max_bytes = MAX_FRAMING_BYTES
        await self.check_endless_input(head + b"2\r\nab\r\n0\r\nX: ", PIECE, max_bytes, 413)

    async def test_many_trailer_fields(self) -> None:
        head = encode_request("/invoke/bid/b1", method="PUT", transfer_encoding="chunked")
        await self.check_endless_input(
            head + b"2\r\nab\r\n0\r\n", b"x-y: z\r\n" * 500, 2 * MAX_HEADER_BYTES, 431
        )

    async def test_an_endless_chunk_extension(self) -> None:
        head = encode_request("/invoke/bid/b1", method="PUT", transfer_encoding="chunked")
        max_bytes = MAX_FRAMING_BYTES
        await self.check_endless_input(head + b"2;", PIECE, max_bytes, 413)

    async def connect_unread(
        self, director: Director, request_bytes: bytes
    ) -> tuple[socket.socket, ClientConnection]:
        """Connects a client that sends `request_bytes` and reads nothing, with small socket buffers."""
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.setblocking(False)
        await asyncio.get_running_loop().sock_connect(client, director.front.address)
        await wait_until(lambda: len(director.front.connections) == 1)
        (connection,) = director.front.connections
        assert connection.transport is not None
        sock = connection.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.sendall(request_bytes)
        return client, connection

    async def test_requests_of_a_client_that_reads_nothing_wait(self) -> None:
        """Requests of a client that keeps sending and reads nothing wait until it reads."""
        cache = ScriptedServer(large)
        async with running(cache) as (_, director):
            client, connection = await self.connect_unread(director, encode_pipelined(PIPELINED, 3000.0))
            await wait_until(
                lambda: director.counters["answers.served"] >= 2 and not director.exchange.open_requests
            )
            assert connection.transport is not None
            assert connection.transport.get_write_buffer_size() < 3 * len(LARGE)
            assert len(cache.received) < PIPELINED
            reader, writer = await asyncio.open_connection(sock=client)
            for _ in range(PIPELINED):
                assert (await read_message(reader))[2] == LARGE
            assert director.counters["answers.served"] == PIPELINED
            writer.close()

    async def test_a_client_that_never_reads_is_disconnected_after_its_deadline(self) -> None:
        async with running(ScriptedServer(large)) as (_, director):
            client, _ = await self.connect_unread(director, encode_pipelined(PIPELINED, 400.0))
            await wait_until(lambda: director.counters["clients.never_read"] == 1)
            await wait_until(lambda: not director.front.connections)
            assert director.front.descriptor_count == 0
            client.close()

    async def test_an_incomplete_request_after_unread_responses_times_out(self) -> None:
        async with running(ScriptedServer(large)) as (_, director):
            front, real_clock = director.front, director.front.clock
            client, connection = await self.connect_unread(
                director, encode_pipelined(3, 3000.0) + encode_pipelined(1, 3000.0)[:-9]
            )
            await wait_until(
                lambda: director.counters["answers.served"] >= 2 and not director.exchange.open_requests
            )
            assert connection.is_writing_paused
            connection.pipelined.clear()  # as after the last complete request, when reading resumes
            connection.is_reading_paused, connection.has_partial_request = False, True
            connection.request_began_ms = real_clock()
            front._paused.clear()
            front.update_state(connection)
            front.clock = lambda: real_clock() + front.request_timeout_ms + 1.0
            front.sweep()  # called by its timer otherwise
            await wait_until(lambda: not front.connections)
            assert (front.descriptor_count, director.counters["clients.came_too_slowly"]) == (0, 1)
            client.close()


class FromCaches(unittest.IsolatedAsyncioTestCase):
    async def check_endless_response(self, start: bytes, piece: bytes) -> None:
        sent = [0]

        async def send_endlessly(request: ReceivedRequest) -> None:
            request.writer.write(start)
            with contextlib.suppress(ConnectionError):
                while sent[0] <= 8 * MAX_OBJECT_BYTES:
                    request.writer.write(piece)
                    sent[0] += len(piece)
                    await request.writer.drain()

        async with running(ScriptedServer(send_endlessly)) as (harness, director):
            reader, writer = await harness.connect()
            writer.write(encode_request("/invoke/lot-page/a1", Connection="close"))
            with contextlib.suppress(ConnectionError):
                while await reader.read(65536):
                    pass
            assert director.counters["caches.unreadable_answer"] >= 1
            counters = director.counters  # cut if it had begun, otherwise failed or rejected
            end_counters = ("answers.cut", "answers.failed", "answers.refused")
            assert [counters["answers.served"], sum(counters[counter] for counter in end_counters)] == [0, 1]
            writer.close()

    async def test_an_endless_trailer(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX: "
        await self.check_endless_response(head, PIECE)

    async def test_many_trailer_fields(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"
        await self.check_endless_response(head, b"".join(b"x-%d: z\r\n" % n for n in range(500)))

    async def test_an_endless_chunk_extension(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;"
        await self.check_endless_response(head, PIECE)

    async def test_a_response_of_small_chunks_is_valid(self) -> None:
        async def small(request: ReceivedRequest) -> None:
            request.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            request.writer.write(b"1\r\nx\r\n" * MAX_HEAD_BYTES + b"0\r\n\r\n")

        async with running(ScriptedServer(small)) as (harness, _):
            reader, writer = await harness.connect()
            writer.write(encode_request("/invoke/lot-page/a1"))
            await reader.readuntil(b"\r\n\r\n")
            body_size = 0
            while size := int((await reader.readline()).strip(), 16):
                body_size += len((await reader.readexactly(size + 2))[:-2])
            assert body_size == MAX_HEAD_BYTES
            writer.close()

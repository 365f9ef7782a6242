"""Valid and invalid behaviour of clients over loopback, and how a director handles it."""

import asyncio
import os
import socket
import unittest

import pytest

from gladewalk.net.clients import FIRST_BYTE_TIMEOUT_MS, IDLE_TIMEOUT_MS, SPARE_CONNECTIONS
from gladewalk.net.requests import BadRequestError, parse_request
from gladewalk.rehearsal.director_harness import wait_until
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ScriptedServer

from .server_scripts import BYTES, hit, hit_after, running


class Clients(unittest.IsolatedAsyncioTestCase):
    async def test_all_waiting_clients_are_accepted_at_once(self) -> None:
        async with running(ScriptedServer(hit)) as (_, director):
            front = director.front
            # No event-loop iteration yet.
            waiting = [socket.create_connection(front.address) for _ in range(50)]
            front.accept()
            await wait_until(lambda: len(front.connections) == 50, 5.0)
            assert (front.counters["clients.connected"], front.descriptor_count) == (50, 50)
            for client in waiting:
                client.sendall(encode_request("/invoke/lot-page/a1"))
            await wait_until(lambda: len(front.idle) == 50)
            more = [socket.create_connection(front.address) for _ in range(front.connection_limit - 50)]
            front.accept()
            for _ in range(4):  # until the loop has created their transports
                front.accept()
                await asyncio.sleep(0)
            await wait_until(lambda: len(front.connections) == front.connection_limit, 5.0)
            assert front.descriptor_count == front.connection_limit
            assert front.counters["clients.made_room"] == 0
            waiting += more
            for client in waiting:
                client.close()

    async def test_idle_and_unused_connections_are_evicted_for_new_requests(self) -> None:
        async with running(ScriptedServer(hit)) as (harness, director):
            front, writers = director.front, []
            for number in range(front.connection_limit):
                reader, writer = await harness.connect()
                writers.append(writer)
                if number % 2:
                    writer.write(encode_request("/invoke/lot-page/a1"))
                    await read_message(reader)
            for _ in range(front.connection_limit):
                assert (await harness.fetch())[0] == 200
            assert len(front.connections) <= front.connection_limit + SPARE_CONNECTIONS
            burst = [await harness.connect() for _ in range(3 * front.connection_limit)]
            assert len(front.connections) <= front.connection_limit + SPARE_CONNECTIONS
            assert (await harness.fetch())[0] == 200
            assert len(front.connections) <= front.connection_limit + SPARE_CONNECTIONS
            assert front.counters["clients.made_room"] > 0
            for _, writer in burst:
                writers.append(writer)
            for writer in writers:
                writer.close()

    async def test_a_connection_with_an_unread_request_is_not_evicted(self) -> None:
        async with running(ScriptedServer(hit)) as (harness, director):
            front = director.front
            reader, writer = await harness.connect()
            writer.write(encode_request("/invoke/lot-page/a1"))
            await read_message(reader)
            (connection,) = front.idle
            sock = writer.get_extra_info("socket")
            # Synchronously: no event-loop iteration in between.
            os.write(sock.fileno(), encode_request("/invoke/lot-page/a1"))
            front._evict_one()
            assert not connection.is_evicted
            assert " 200 " in (await read_message(reader))[0]
            front._evict_one()
            assert connection.is_evicted
            writer.close()

    async def test_connections_without_a_complete_request_have_time_limits(self) -> None:
        async with running(ScriptedServer(hit)) as (harness, director):
            front = director.front
            unused, incomplete, idle_client = [await harness.connect() for _ in range(3)]
            incomplete[1].write(encode_request("/invoke/lot-page/a1")[:-9])
            idle_client[1].write(encode_request("/invoke/lot-page/a1"))
            await read_message(idle_client[0])
            await wait_until(lambda: (len(front.awaiting), len(front.idle)) == (2, 1))
            clock = front.clock
            front.clock = lambda: clock() + FIRST_BYTE_TIMEOUT_MS + 1.0
            assert await unused[0].read() == b""
            front.clock = lambda: clock() + front.request_timeout_ms + 1.0
            assert b" 408 " in await incomplete[0].read()
            front.clock = lambda: clock() + max(front.request_timeout_ms, IDLE_TIMEOUT_MS) + 1.0
            assert await idle_client[0].read() == b""
            for _, writer in (unused, incomplete, idle_client):
                writer.close()
            await wait_until(lambda: not front.connections)
            assert not (front.awaiting or front.idle or front.lingering or front.evicted_count)

    async def test_an_endless_head_is_rejected(self) -> None:
        async with running(ScriptedServer(hit)) as (harness, _):
            reader, writer = await harness.connect()
            writer.write(b"GET /invoke/lot-page/a1 HTTP/1.1\r\nX-Endless: ")
            for _ in range(40):
                writer.write(b"x" * 1000)
                await writer.drain()
                await asyncio.sleep(0)
            assert b" 431 " in await reader.read()
            writer.close()

    async def test_a_client_that_still_sends_can_read_the_rejection(self) -> None:
        async with running(ScriptedServer(hit)) as (harness, _):
            reader, writer = await harness.connect()
            writer.write(encode_request("/invoke/bid/a1", method="PUT", Content_Length="60000000"))
            for _ in range(200):
                writer.write(b"x" * 50_000)
                await writer.drain()
            assert b" 413 " in await reader.read()
            writer.close()

    async def test_the_id_of_an_open_request_is_rejected_for_another_object(self) -> None:
        release = asyncio.Event()
        cache = ScriptedServer(hit_after(release))
        async with running(cache) as (harness, director):
            first = asyncio.create_task(harness.fetch("/invoke/lot-page/a1"))
            await wait_until(lambda: len(cache.received) == 1)
            assert (await harness.fetch("/invoke/lot-page/a2"))[0] == 409
            release.set()
            assert (await first)[0] == 200
            assert (await harness.fetch("/invoke/lot-page/a2"))[0] == 200
            assert director.front.open_by_trace_id == {}

    async def test_an_id_may_be_reused_and_pipelined_requests_are_answered_in_order(self) -> None:
        async with running(ScriptedServer(hit)) as (harness, _):
            reader, writer = await harness.connect()
            request_bytes = encode_request("/invoke/lot-page/a1")
            writer.write(request_bytes + encode_request("/_health") + request_bytes)
            responses = [await read_message(reader) for _ in range(3)]
            writer.close()
        assert [len(body) for _, _, body in responses] == [len(BYTES), 0, len(BYTES)]

    async def test_bad_input_gets_an_error_status_and_is_counted(self) -> None:
        bad = {
            "/invoke/lot-page/xyz": 400,
            "/invoke/lot-page/a1?nth=-1": 400,
            "/elsewhere": 404,
            "/invoke/no-such-class/a1": 404,
            "/invoke/bid/a1": 405,
            "/invoke/lot-page/a1?nth=1&x=" + "y" * 20_000: 431,
        }
        async with running(ScriptedServer(hit)) as (harness, director):
            for path, status in bad.items():
                assert (await harness.fetch(path))[0] == status, path[:40]
            assert (await harness.fetch(wait_ms=float("nan")))[0] == 400
            assert (await harness.fetch(method="DELETE"))[0] == 405
            assert (await harness.fetch(method="PUT", body=b"x" * 70_000))[0] == 413
            reader, writer = await harness.connect()
            writer.write(b"\x16\x03\x01\r\n\r\n")
            assert "400" in (await read_message(reader))[0]
            writer.close()
            assert director.counters["clients.bad_input_400"] == 4


async def response_to_field(cache: ScriptedServer, field: str) -> bytes:
    """Returns all that a client receives after a write with this field and another request in its body."""
    async with running(cache) as (harness, _):
        reader, writer = await harness.connect()
        head = encode_request("/invoke/bid/a1", method="PUT").replace(b"\r\n\r\n", b"\r\n")
        hidden = encode_request("/invoke/lot-page/a2")
        writer.write(head + field.encode() + b"\r\n\r\n0\r\n\r\n" + hidden)
        response = await reader.read()  # one response, then the end
        writer.close()
    return response


@pytest.mark.parametrize(
    ("field", "status"),
    [
        ("Content-Length: 4\r\nTransfer-Encoding: chunked", 400),
        ("Transfer-Encoding: chunked\r\nContent-Length: 4", 400),
        ("Content-Length: 4\r\nContent-Length: 300", 400),
        ("Content-Length: -1", 400),
        ("Content-Length: 99999999999999999999999", 400),
        ("Transfer-Encoding: gzip", 400),
        ("Trace-Id: 0000000000000000", 400),  # a second one
        ("Content-Length: 60000000", 413),
    ],
)
def test_a_body_of_ambiguous_length_is_rejected_and_not_forwarded(field: str, status: int) -> None:
    cache = ScriptedServer(hit)
    response = asyncio.run(response_to_field(cache, field))
    assert response.startswith(f"HTTP/1.1 {status} ".encode())
    assert response.count(b"HTTP/1.1") == 1
    assert cache.received == []


@pytest.mark.parametrize("value", [b"", b"-1", b"inf", b"1e300", b"1_0", b"9999999"])
def test_an_invalid_number_is_bad_input(value: bytes) -> None:
    with pytest.raises(BadRequestError):
        parse_request("GET", "/invoke/c/1", "", {b"trace-id": b"1f", b"max-wait-ms": value}, b"")

"""Requests over loopback: a director in this process with scripted caches, parents and an origin."""

import asyncio
import socket
import unittest

import pytest
import uvloop

from gladewalk.core.counters import Counters
from gladewalk.net.sockets import write_now
from gladewalk.rehearsal.director_harness import wait_until
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer
from gladewalk.upstream.http1 import Http1Connection
from gladewalk.upstream.reuse_delay import REUSE_DELAY_MS

from .server_scripts import BYTES, hit, miss_then_fill, never_respond, reset, reset_mid_body, running

HEAD = b"HTTP/1.1 200 OK\r\n"
CORRUPTED_RESPONSES = {
    "two lengths": HEAD + b"Content-Length: 5\r\nContent-Length: 9\r\n\r\nabcde",
    "length and chunks": HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "too long": HEAD + b"Content-Length: 3000000000\r\n\r\n" + b"x" * 1000,
    "invalid chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nnoise\r\n",
    "no length": HEAD + b"\r\nno length, so no end that can be told",
    "endless head": HEAD + b"X-Pad: pppppppppppppppppppp\r\n" * 2_000,
    "not HTTP": b"\x00\x01 noise",
}
SURPLUS_BYTES = {
    "duplicate response": HEAD + b"Content-Length: 4\r\n\r\nfake",
    "not HTTP": b"noise",
    "part of a response": b"\r\n\r\nHTTP/1.1 200",
}


async def fetch_despite_corrupted_response(raw: bytes) -> tuple[Counters, ScriptedServer]:
    """Fetches an object whose home sends these bytes, while the other cache responds correctly."""

    async def script(request: ReceivedRequest) -> None:
        request.writer.write(raw)
        await request.writer.drain()
        await asyncio.Event().wait()  # the connection stays open

    bad, good = ScriptedServer(script), ScriptedServer(hit, "c2", capacity=1e-6)
    async with running(bad, good) as (harness, director):
        status, _, body = await harness.fetch()
        assert (status, body) == (200, BYTES)
        return director.counters, bad


@pytest.mark.parametrize("raw", CORRUPTED_RESPONSES.values(), ids=CORRUPTED_RESPONSES)
def test_a_corrupted_response_is_not_forwarded_and_another_cache_is_tried(raw: bytes) -> None:
    counters, bad = asyncio.run(fetch_despite_corrupted_response(raw))
    assert len(bad.received) == 1
    assert (counters["caches.unreadable_answer"], counters["answers.cut"]) == (1, 0)


async def fetch_bodies(cache: ScriptedServer, paths: list[str]) -> list[str]:
    """Returns the bodies for requests that are sent at once; each attempt waits for a free connection."""
    async with running(cache) as (harness, _):
        reader, writer = await harness.connect()
        for path in paths:
            writer.write(encode_request(f"/invoke{path[:-2]}"))
        responses = [await read_message(reader) for _ in paths]
        writer.close()
    return [body.decode() for _, _, body in responses]


@pytest.mark.parametrize("surplus", SURPLUS_BYTES.values(), ids=SURPLUS_BYTES)
def test_surplus_bytes_are_not_read_as_the_next_response(surplus: bytes) -> None:
    async def script(request: ReceivedRequest) -> None:
        request.writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
        raw = f"HTTP/1.1 200 OK\r\nContent-Length: {len(request.path)}\r\n\r\n{request.path}".encode()
        request.writer.write(raw + surplus)

    cache, paths = ScriptedServer(script), [f"/lot-page/{key:x}/0" for key in range(4)]
    assert asyncio.run(fetch_bodies(cache, paths)) == [f"/o{path}" for path in paths]
    assert cache.connections == 4


class RequestOutcomes(unittest.IsolatedAsyncioTestCase):
    async def test_a_miss_is_filled_from_the_parent_and_passed_on_unchanged(self) -> None:
        cache, parent = ScriptedServer(miss_then_fill), ScriptedServer(hit, "p1", "parent", "north")
        async with running(cache, parent) as (harness, _):
            path = "/invoke/lot-page/7f3a9c21e0b4d655?nth=3"
            status, _, body = await harness.fetch(path, trace="00c0ffee00c0ffee")
        assert (status, body) == (200, BYTES)
        lookup, fill = cache.received
        assert {request.path for request in cache.received} == {"/o/lot-page/7f3a9c21e0b4d655/3"}
        assert lookup.headers["x-ticket"] == "00c0ffee00c0ffee"
        assert "miss-to" not in lookup.headers
        assert (fill.headers["miss-to"], fill.headers["store-as"]) == ("p1", "1")
        assert cache.connections == 2  # the first attempt's connection was in its reuse delay

    async def test_a_copy_in_the_clients_cache_is_confirmed_without_a_body(self) -> None:
        async def script(request: ReceivedRequest) -> None:
            await request.respond(304 if request.headers.get("have") == "4be0" else 500, Tag="4be0")

        async with running(ScriptedServer(script)) as (harness, _):
            status, fields, body = await harness.fetch(If_None_Match='"4be0"')
        assert (status, fields["etag"], body) == (304, '"4be0"', b"")

    async def test_a_truncated_response_is_not_sent_to_the_client(self) -> None:
        cache = ScriptedServer(reset_mid_body)
        async with running(cache) as (harness, director):
            status, _, body = await harness.fetch()
            counters = director.counters
            assert (status, body, counters["answers.refused"]) == (503, b"", 1)
            assert counters["attempts.reset"] == len(cache.received) > 1  # it was retried
            assert director.exchange.memory.responses.used_bytes == 0

    async def test_a_write_with_a_truncated_response_fails_and_is_not_retried(self) -> None:
        cache, origin = ScriptedServer(reset_mid_body), ScriptedServer(reset_mid_body, "o", "origin", "north")
        async with running(cache, origin) as (harness, _):
            status, _, body = await harness.fetch("/invoke/bid/b1", method="PUT", body=b"12 boxes")
        assert (status, body) == (502, b"")
        assert len(cache.received + origin.received) == 1

    async def test_a_connection_to_an_old_address_is_not_used_for_the_new_one(self) -> None:
        old, new = ScriptedServer(hit), await ScriptedServer(hit).start()
        async with running(old) as (harness, director):
            caches = director.connection_pool
            await harness.fetch()
            (connection,) = caches.servers["c1"].idle
            caches.servers["c1"].idle.clear()
            harness.coordinator.publish_endpoints(new)  # the same server at another address
            await wait_until(lambda: director.endpoint_feed.last_index == 2)
            caches.servers["c1"].release(connection)
            await harness.fetch()
            deleted = ScriptedServer(hit, state="DELETED", address=new.address)
            harness.coordinator.publish_endpoints(deleted)
            await wait_until(lambda: not caches.servers)
        new.stop()
        assert (len(old.received), len(new.received)) == (1, 1)

    async def test_a_write_that_may_have_been_executed_is_not_retried(self) -> None:
        cache, origin = ScriptedServer(reset), ScriptedServer(reset, "o", "origin", "north")
        async with running(cache, origin) as (harness, _):
            status, _, _ = await harness.fetch("/invoke/bid/b1", method="PUT", body=b"10 boxes of hake")
        assert status == 502
        assert [request.body for request in cache.received + origin.received] == [b"10 boxes of hake"]

    async def test_a_rejection_has_a_retry_after_field(self) -> None:
        async with running(ScriptedServer(hit, state="DRAINING")) as (harness, director):
            status, fields, _ = await harness.fetch()
            assert director.exchange.unanswered_count == 0
        assert (status, fields["retry-after"]) == (503, "1")

    async def test_a_request_to_an_unresponsive_cache_gets_a_final_answer(self) -> None:
        async with running(ScriptedServer(never_respond)) as (harness, _):
            status, _, _ = await harness.fetch(wait_ms=300.0)
        assert status == 502

    async def test_a_disconnect_of_the_client_cancels_its_attempt(self) -> None:
        cache = ScriptedServer(never_respond)
        async with running(cache) as (harness, director):
            _, writer = await harness.connect()
            writer.write(encode_request("/invoke/lot-video/a1"))
            await wait_until(lambda: len(cache.received) == 1)
            writer.transport.abort()
            exchange, counters = director.exchange, director.counters
            await wait_until(lambda: not exchange.open_requests)
            assert (counters["requests.left_by_client"], counters["attempts.cancelled"]) == (1, 1)
            assert not (exchange.dispatcher.state.pending or exchange.dispatcher.state.attempts)


def test_connections_are_not_reused_after_a_delayed_duplicate_response() -> None:
    """HTTP/1.1 does not state which request a response is for: a duplicate is read as the next response."""

    async def send_duplicate(request: ReceivedRequest) -> None:
        raw = HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(request.path), request.path.encode())
        request.writer.write(raw)
        await asyncio.sleep(0.01)
        request.writer.write(HEAD + b"Content-Length: 4\r\n\r\nfake")
        await asyncio.sleep(0.02)

    async def scenario() -> list[bytes]:
        async with running(ScriptedServer(send_duplicate)) as (harness, director):
            await harness.fetch("/invoke/lot-page/1")
            await wait_until(lambda: director.counters["caches.surplus"] >= 1)
            reader, writer = await harness.connect()
            for key in range(2, 8):
                writer.write(encode_request(f"/invoke/lot-page/{key:x}"))
            bodies = [(await read_message(reader)).body for _ in range(2, 8)]
            writer.close()
            return bodies

    assert asyncio.run(scenario()) == [f"/o/lot-page/{key:x}/0".encode() for key in range(2, 8)]


def test_a_connection_is_reused_only_after_the_reuse_delay() -> None:
    """Guards against delayed surplus bytes of a server that are read as the response to the next request."""

    async def scenario() -> list[bool]:
        async with running(ScriptedServer(hit)) as (_, director):
            server = director.connection_pool.servers["c1"]
            loop = asyncio.get_running_loop()
            first, second = [
                (await loop.create_connection(lambda: Http1Connection(server), *server.address))[1]
                for _ in range(2)
            ]
            first.has_carried = second.has_carried = True
            server.release(first)
            results = [server.acquire() is None]
            await asyncio.sleep(REUSE_DELAY_MS / 1000.0)
            server.release(second)
            results += [server.acquire() is first, server.acquire() is None]
            await asyncio.sleep(REUSE_DELAY_MS / 1000.0)
            return [*results, server.acquire() is second]

    assert asyncio.run(scenario()) == [True, True, True, True]


def test_a_request_is_written_at_once_after_its_deadline_is_computed() -> None:
    """Guards against sending a server a remaining time that is too long by the rest of the iteration."""
    large = bytes(8_000_000)  # more than the system accepts at once

    async def scenario() -> list[bool]:
        listener = socket.create_server(("127.0.0.1", 0))
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_connection(asyncio.Protocol, *listener.getsockname())
        server, _ = listener.accept()
        write_now(transport, b"at once")
        server.setblocking(False)
        results = [server.recv(100) == b"at once"]  # in the same event-loop iteration
        write_now(transport, large)
        write_now(transport, b"behind it")
        server.setblocking(True)
        expected = large + b"behind it"
        received = await loop.run_in_executor(None, receive, server, len(expected))
        transport.abort()
        return [*results, received == expected]

    assert uvloop.run(scenario()) == [True, True]


def receive(connection: socket.socket, size: int) -> bytes:
    received = b""
    while len(received) < size and (data := connection.recv(1_000_000)):
        received += data
    return received

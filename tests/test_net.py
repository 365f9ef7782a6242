"""Stories over loopback: a director in this process against scripted caches, parents and an origin."""

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
SPOILT_ANSWERS = {
    "two lengths": HEAD + b"Content-Length: 5\r\nContent-Length: 9\r\n\r\nabcde",
    "length and chunks": HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "too long": HEAD + b"Content-Length: 3000000000\r\n\r\n" + b"x" * 1000,
    "noise for a chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nnoise\r\n",
    "no length": HEAD + b"\r\nno length, so no end that can be told",
    "endless head": HEAD + b"X-Pad: pppppppppppppppppppp\r\n" * 2_000,
    "noise": b"\x00\x01 noise",
}
BEHIND_ANSWERS = {
    "a second answer": HEAD + b"Content-Length: 4\r\n\r\nfake",
    "noise": b"noise",
    "half an answer": b"\r\n\r\nHTTP/1.1 200",
}


async def spoilt_by(raw: bytes) -> tuple[Counters, ScriptedServer]:
    """One request while its home answers with these bytes, and the other cache as it should."""

    async def script(heard: ReceivedRequest) -> None:
        heard.writer.write(raw)
        await heard.writer.drain()
        await asyncio.Event().wait()  # the connection stays open

    bad, good = ScriptedServer(script), ScriptedServer(hit, "c2", capacity=1e-6)
    async with running(bad, good) as (world, director):
        status, _, body = await world.fetch()
        assert (status, body) == (200, BYTES)
        return director.counters, bad


@pytest.mark.parametrize("raw", SPOILT_ANSWERS.values(), ids=SPOILT_ANSWERS)
def test_a_spoilt_answer_reaches_no_client_and_another_cache_is_asked(raw: bytes) -> None:
    counters, bad = asyncio.run(spoilt_by(raw))
    assert len(bad.received) == 1
    assert (counters["caches.unreadable_answer"], counters["answers.cut"]) == (1, 0)


async def answers_of(cache: ScriptedServer, paths: list[str]) -> list[str]:
    """The bodies of requests that are all sent at once: the next attempt waits for a free connection."""
    async with running(cache) as (world, _):
        reader, writer = await world.connect()
        for path in paths:
            writer.write(encode_request(f"/invoke{path[:-2]}"))
        answers = [await read_message(reader) for _ in paths]
        writer.close()
    return [body.decode() for _, _, body in answers]


@pytest.mark.parametrize("behind", BEHIND_ANSWERS.values(), ids=BEHIND_ANSWERS)
def test_what_lies_behind_an_answer_is_never_taken_for_the_next_one(behind: bytes) -> None:
    async def script(heard: ReceivedRequest) -> None:
        heard.writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
        raw = f"HTTP/1.1 200 OK\r\nContent-Length: {len(heard.path)}\r\n\r\n{heard.path}".encode()
        heard.writer.write(raw + behind)

    cache, paths = ScriptedServer(script), [f"/lot-page/{key:x}/0" for key in range(4)]
    assert asyncio.run(answers_of(cache, paths)) == [f"/o{path}" for path in paths]
    assert cache.connections == 4


class Stories(unittest.IsolatedAsyncioTestCase):
    async def test_a_miss_is_filled_from_the_parent_and_passed_on_unchanged(self) -> None:
        cache, parent = ScriptedServer(miss_then_fill), ScriptedServer(hit, "p1", "parent", "north")
        async with running(cache, parent) as (world, _):
            path = "/invoke/lot-page/7f3a9c21e0b4d655?nth=3"
            status, _, body = await world.fetch(path, trace="00c0ffee00c0ffee")
        assert (status, body) == (200, BYTES)
        lookup, fill = cache.received
        assert {heard.path for heard in cache.received} == {"/o/lot-page/7f3a9c21e0b4d655/3"}
        assert lookup.headers["x-ticket"] == "00c0ffee00c0ffee"
        assert "miss-to" not in lookup.headers
        assert (fill.headers["miss-to"], fill.headers["store-as"]) == ("p1", "1")
        assert cache.connections == 2  # the first attempt's connection rested

    async def test_a_copy_that_the_client_holds_is_confirmed_without_bytes(self) -> None:
        async def script(heard: ReceivedRequest) -> None:
            await heard.answer(304 if heard.headers.get("have") == "4be0" else 500, Tag="4be0")

        async with running(ScriptedServer(script)) as (world, _):
            status, fields, body = await world.fetch(If_None_Match='"4be0"')
        assert (status, fields["etag"], body) == (304, '"4be0"', b"")

    async def test_an_answer_that_breaks_off_is_seen_by_no_client(self) -> None:
        cache = ScriptedServer(reset_mid_body)
        async with running(cache) as (world, director):
            status, _, body = await world.fetch()
            counters = director.counters
            assert (status, body, counters["answers.refused"]) == (503, b"", 1)
            assert counters["attempts.reset"] == len(cache.received) > 1  # it was asked for again
            assert director.exchange.response_budget.used_bytes == 0

    async def test_a_write_whose_answer_breaks_off_fails_and_is_not_sent_again(self) -> None:
        cache, origin = ScriptedServer(reset_mid_body), ScriptedServer(reset_mid_body, "o", "origin", "north")
        async with running(cache, origin) as (world, _):
            status, _, body = await world.fetch("/invoke/bid/b1", method="PUT", body=b"12 boxes")
        assert (status, body) == (502, b"")
        assert len(cache.received + origin.received) == 1

    async def test_what_was_dialled_at_an_old_address_carries_nothing_for_the_new_one(self) -> None:
        old, new = ScriptedServer(hit), await ScriptedServer(hit).start()
        async with running(old) as (world, director):
            caches = director.connection_pool
            await world.fetch()
            (connection,) = caches.servers["c1"].idle
            caches.servers["c1"].idle.clear()
            world.coordinator.publish_endpoints(new)  # the same server at another place
            await wait_until(lambda: director.endpoint_feed.last_index == 2)
            caches.servers["c1"].release(connection)
            await world.fetch()
            gone = ScriptedServer(hit, state="DELETED", address=new.address)
            world.coordinator.publish_endpoints(gone)
            await wait_until(lambda: not caches.servers)
        new.stop()
        assert (len(old.received), len(new.received)) == (1, 1)

    async def test_a_bid_that_may_have_run_is_never_sent_again(self) -> None:
        cache, origin = ScriptedServer(reset), ScriptedServer(reset, "o", "origin", "north")
        async with running(cache, origin) as (world, _):
            status, _, _ = await world.fetch("/invoke/bid/b1", method="PUT", body=b"10 boxes of hake")
        assert status == 502
        assert [heard.body for heard in cache.received + origin.received] == [b"10 boxes of hake"]

    async def test_a_refusal_comes_with_the_time_to_come_back(self) -> None:
        async with running(ScriptedServer(hit, state="DRAINING")) as (world, director):
            status, fields, _ = await world.fetch()
            assert director.exchange.unanswered_count == 0
        assert (status, fields["retry-after"]) == (503, "1")

    async def test_a_silent_cache_costs_no_request_its_final_answer(self) -> None:
        async with running(ScriptedServer(never_respond)) as (world, _):
            status, _, _ = await world.fetch(wait_ms=300.0)
        assert status == 502

    async def test_a_client_that_leaves_takes_its_attempt_with_it(self) -> None:
        cache = ScriptedServer(never_respond)
        async with running(cache) as (world, director):
            _, writer = await world.connect()
            writer.write(encode_request("/invoke/lot-video/a1"))
            await wait_until(lambda: len(cache.received) == 1)
            writer.transport.abort()
            exchange, counters = director.exchange, director.counters
            await wait_until(lambda: not exchange.open_requests)
            assert (counters["requests.left_by_client"], counters["attempts.cancelled"]) == (1, 1)
            assert not (exchange.dispatcher.state.pending or exchange.dispatcher.state.attempts)


def test_a_server_that_sent_a_second_answer_late_gets_no_connection_twice() -> None:
    """HTTP/1.1 does not tell whose answer it is that comes while the next request is under way."""

    async def doubled(heard: ReceivedRequest) -> None:
        raw = HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(heard.path), heard.path.encode())
        heard.writer.write(raw)
        await asyncio.sleep(0.01)
        heard.writer.write(HEAD + b"Content-Length: 4\r\n\r\nfake")
        await asyncio.sleep(0.02)

    async def story() -> list[bytes]:
        async with running(ScriptedServer(doubled)) as (world, director):
            await world.fetch("/invoke/lot-page/1")
            await wait_until(lambda: director.counters["caches.surplus"] >= 1)
            reader, writer = await world.connect()
            for key in range(2, 8):
                writer.write(encode_request(f"/invoke/lot-page/{key:x}"))
            bodies = [(await read_message(reader)).body for _ in range(2, 8)]
            writer.close()
            return bodies

    assert asyncio.run(story()) == [f"/o/lot-page/{key:x}/0".encode() for key in range(2, 8)]


def test_a_connection_is_used_again_once_it_has_rested_and_not_before() -> None:
    """Guards against a server's late bytes that are read as the next request's response."""

    async def story() -> list[bool]:
        async with running(ScriptedServer(hit)) as (_, director):
            server = director.connection_pool.servers["c1"]
            loop = asyncio.get_running_loop()
            rested, fresh = [
                (await loop.create_connection(lambda: Http1Connection(server), *server.address))[1]
                for _ in range(2)
            ]
            rested.has_carried = fresh.has_carried = True
            server.release(rested)
            found = [server.acquire() is None]
            await asyncio.sleep(REUSE_DELAY_MS / 1000.0)
            server.release(fresh)
            found += [server.acquire() is rested, server.acquire() is None]
            await asyncio.sleep(REUSE_DELAY_MS / 1000.0)
            return [*found, server.acquire() is fresh]

    assert asyncio.run(story()) == [True, True, True, True]


def test_a_request_is_written_in_the_moment_in_which_its_deadline_is_computed() -> None:
    """Guards against a deadline told to a server that is too long by the rest of the loop's turn."""
    large = bytes(8_000_000)  # more than the system takes at once

    async def story() -> list[bool]:
        listener = socket.create_server(("127.0.0.1", 0))
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_connection(asyncio.Protocol, *listener.getsockname())
        server, _ = listener.accept()
        write_now(transport, b"at once")
        server.setblocking(False)
        found = [server.recv(100) == b"at once"]  # the loop has not turned
        write_now(transport, large)
        write_now(transport, b"behind it")
        server.setblocking(True)
        expected = large + b"behind it"
        received = await loop.run_in_executor(None, receive, server, len(expected))
        transport.abort()
        return [*found, received == expected]

    assert uvloop.run(story()) == [True, True]


def receive(connection: socket.socket, size: int) -> bytes:
    received = b""
    while len(received) < size and (data := connection.recv(1_000_000)):
        received += data
    return received

"""Allocation of streams to HTTP/2 connections, their limits and replacement, over loopback."""

import asyncio
from unittest import mock

from h2.errors import ErrorCodes

from gladewalk.rehearsal.director_harness import wait_until
from gladewalk.rehearsal.http_messages import encode_request
from gladewalk.rehearsal.scripted_http2_server import Http2Request, ScriptedHttp2Server
from gladewalk.rehearsal.scripted_servers import ScriptedServer
from gladewalk.rehearsal.write_soak import ticket
from gladewalk.streams import stream_allocator
from gladewalk.upstream.connection_factory import ConnectionFactory

from .http2_rehearsal import (
    BYTES,
    async_test,
    counters_of,
    director_of,
    options_for,
    pool_of,
    read,
    rehearse,
    serve,
    serve_http1,
)


@async_test
async def test_many_requests_share_few_connections_and_get_correct_responses() -> None:
    received: list[Http2Request] = []
    server = ScriptedHttp2Server(received.append, max_concurrent_streams=64)
    async with rehearse(server) as rehearsal:
        requests = [asyncio.create_task(read(rehearsal, n)) for n in range(80)]
        await wait_until(lambda: len(received) == 80)
        assert (server.connections, server.streams_over_limit) == (2, 0)
        assert server.max_streams <= 64
        for request in received:
            request.respond(200, BYTES)
        answers = await asyncio.gather(*requests)
    assert {(status, body) for status, _, body in answers} == {(200, BYTES)}
    assert {request.path.rsplit("/", 1)[1] for request in received} == {"2"}
    assert {request.headers[":authority"] for request in received} == {"app.svc"}
    assert server.protocol_errors == []


@async_test
async def test_a_lowered_stream_limit_is_respected_down_to_0_and_used_again_when_raised() -> None:
    received: list[Http2Request] = []
    server = ScriptedHttp2Server(received.append, max_concurrent_streams=4)
    async with rehearse(server, connections_most=1) as rehearsal:
        first_requests = [asyncio.create_task(read(rehearsal, n)) for n in range(4)]
        await wait_until(lambda: len(received) == 4)
        connection = server.open_connections[0]
        connection.update_settings(max_concurrent_streams=0)
        (group,) = pool_of(rehearsal).groups
        await wait_until(lambda: any(s.max_streams == 0 for s in group.allocator.connections.values()))
        further_requests = [asyncio.create_task(read(rehearsal, n)) for n in range(4, 8)]
        for request in received[:4]:
            request.respond(200, BYTES)
        await asyncio.gather(*first_requests)
        assert len(received) == 4  # no new request under a limit of 0
        connection.update_settings(max_concurrent_streams=1)
        for n in range(4, 8):
            await wait_until(lambda n=n: len(received) == n + 1)  # type: ignore[misc]
            received[n].respond(200, BYTES)
        assert [status for status, _, _ in await asyncio.gather(*further_requests)] == [200] * 4
    assert (server.connections, server.streams_over_limit) == (1, 0)


@async_test
async def test_a_connection_without_stream_ids_left_is_replaced() -> None:
    server = ScriptedHttp2Server(serve)
    with mock.patch.object(stream_allocator, "MAX_STREAM_ID", 5):
        async with rehearse(server) as rehearsal:
            for n in range(7):
                assert (await read(rehearsal, n))[0] == 200
    assert (server.connections, server.protocol_errors) == (3, [])


@async_test
async def test_a_server_that_sends_enhance_your_calm_gets_no_new_requests_during_the_backoff() -> None:
    calm = ScriptedHttp2Server(lambda request: request.reset(ErrorCodes.ENHANCE_YOUR_CALM))
    other = ScriptedHttp2Server(serve, "c2", capacity=1e-6)
    async with rehearse(calm, other, calm_ms=600_000.0) as rehearsal:
        for n in range(5):
            assert (await read(rehearsal, n))[0] == 200
        assert counters_of(rehearsal)["h2.calm_asked"] == 1
        assert counters_of(rehearsal)["h2.calm_kept"] > 0
    assert len(calm.received) == 1


@async_test
async def test_resets_are_limited_and_responses_of_further_abandoned_streams_are_discarded() -> None:
    received: list[Http2Request] = []
    server = ScriptedHttp2Server(received.append, max_concurrent_streams=100)
    async with rehearse(server, cancels_burst=3, cancels_per_s=0.0001, connections_most=1) as rehearsal:
        writers = []
        for n in range(8):
            _, writer = await rehearsal.connect()
            writer.write(encode_request(f"/invoke/lot-video/{n:x}", trace=ticket(n)))
            writers.append(writer)
        await wait_until(lambda: len(received) == 8)
        for writer in writers:
            writer.transport.abort()
        await wait_until(lambda: counters_of(rehearsal)["attempts.cancelled"] == 8)
        await wait_until(lambda: server.resets_received == 3)
        assert counters_of(rehearsal)["h2.cancels_held_back"] == 5
        for request in received:
            request.respond(200, BYTES)
        server.script = serve
        assert (await rehearsal.fetch("/invoke/lot-page/ff"))[0] == 200  # on the same connection
    assert (server.connections, server.resets_received) == (1, 3)


@async_test
async def test_a_request_that_waits_for_a_stream_is_not_sent_after_a_drain() -> None:
    received: list[Http2Request] = []
    server = ScriptedHttp2Server(received.append, max_concurrent_streams=1)
    async with rehearse(server, connections_most=1, connect_timeout_ms=5_000.0) as rehearsal:
        first_request = asyncio.create_task(read(rehearsal, 1))
        await wait_until(lambda: len(received) == 1)
        second_request = asyncio.create_task(read(rehearsal, 2))
        await wait_until(lambda: len(pool_of(rehearsal).groups[0].waiting) == 1)
        server.state = "DRAINING"
        rehearsal.coordinator.publish_endpoints(server)
        await wait_until(lambda: director_of(rehearsal).endpoint_feed.last_index == 2)
        received[0].respond(200, BYTES)
        assert (await first_request)[0] == 200
        assert (await second_request)[0] == 503
        assert counters_of(rehearsal)["attempts.held_back"] == 1
    assert len(server.received) == 1


@async_test
async def test_a_server_with_a_new_address_gets_no_requests_at_its_former_address() -> None:
    old = ScriptedHttp2Server(serve)
    new = await ScriptedHttp2Server(serve).start()
    async with rehearse(old) as rehearsal:
        assert (await rehearsal.fetch())[0] == 200
        rehearsal.coordinator.publish_endpoints(new)
        await wait_until(lambda: director_of(rehearsal).endpoint_feed.last_index == 2)
        assert (await rehearsal.fetch())[0] == 200
        await wait_until(lambda: not old.open_connections)
    new.stop()
    assert (len(old.received), len(new.received)) == (1, 1)


@async_test
async def test_one_connection_limit_applies_to_both_protocols() -> None:
    http2_server, http1_server = (
        ScriptedHttp2Server(serve),
        ScriptedServer(serve_http1, "c2", capacity=1_000.0),
    )
    async with rehearse(
        http2_server, http1_server, options=options_for("h2c", by_uid={"c2": "off"})
    ) as rehearsal:
        pool_of(rehearsal).max_connections = 1
        for n in range(10):  # each server is home to some: the idle connection is closed each time
            assert (await read(rehearsal, n))[2] == BYTES
            assert len(pool_of(rehearsal).open_connections) <= 1
    assert min(http2_server.connections, http1_server.connections) > 0


@async_test
async def test_changed_options_drain_open_connections() -> None:
    received: list[Http2Request] = []
    server = ScriptedHttp2Server(received.append)
    async with rehearse(server) as rehearsal:
        earlier = asyncio.create_task(read(rehearsal, 1))
        await wait_until(lambda: len(received) == 1)
        pool_of(rehearsal).set_connection_factory(ConnectionFactory(options_for("h2c", streams_most=1)))
        later = asyncio.create_task(read(rehearsal, 2))
        await wait_until(lambda: len(received) == 2)
        assert received[0].connection is not received[1].connection
        for request in received:
            request.respond(200, BYTES)
        assert [(await earlier)[0], (await later)[0]] == [200, 200]
        await wait_until(lambda: len(server.open_connections) == 1)

"""Which requests are retried after an HTTP/2 stream or connection ended, over loopback."""

import asyncio
import socket
from collections import Counter
from collections.abc import Callable

import pytest
import uvloop
from h2.errors import ErrorCodes
from h2.settings import SettingCodes
from hyperframe.frame import WindowUpdateFrame

from gladewalk.rehearsal.director_harness import wait_until
from gladewalk.rehearsal.scripted_http2_server import (
    GRACEFUL_LAST_STREAM_ID,
    Http2Request,
    Http2Script,
    ScriptedHttp2Server,
)
from gladewalk.rehearsal.write_soak import run_http2_soak, ticket
from gladewalk.streams.stream_tracker import UNPROCESSED_REASONS, EndReason, StreamOutcome

from .http2_rehearsal import (
    PATIENT_MS,
    async_test,
    counters_of,
    options_for,
    pool_of,
    rehearse,
    serve,
    write,
)


async def write_to(
    script: Http2Script,
) -> tuple[int, ScriptedHttp2Server, ScriptedHttp2Server, dict[str, int]]:
    """Sends one write; its first attempts go to a cache with this script, later ones to the origin."""
    server = ScriptedHttp2Server(script, "c1")
    origin = ScriptedHttp2Server(lambda request: request.respond(200, b"taken"), "o", "origin", "north")
    async with rehearse(server, origin) as rehearsal:
        status = await write(rehearsal, 1)
        return status, server, origin, counters_of(rehearsal)


@async_test
async def test_a_refused_write_is_retried() -> None:
    status, server, origin, _ = await write_to(lambda request: request.reset(ErrorCodes.REFUSED_STREAM))
    assert (status, len(server.received), len(origin.processed)) == (200, 1, 1)


@pytest.mark.parametrize("code", [ErrorCodes.NO_ERROR, ErrorCodes.INTERNAL_ERROR, 4_000])
@async_test
async def test_a_write_above_the_goaway_is_retried_whatever_the_code(code: int) -> None:
    status, server, origin, counts = await write_to(lambda request: request.connection.send_goaway(0, code))
    # The home is tried again, then the origin, as each GOAWAY proves that the write was not processed.
    assert (status, len(server.received), len(origin.processed)) == (200, 2, 1)
    assert counts["h2.ended.above_goaway"] == 2


def process_then(end: Callable[[Http2Request], object]) -> Http2Script:
    """Returns a script that processes a request, then ends its stream without a response by calling `end`."""

    def script(request: Http2Request) -> None:
        request.process()
        end(request)

    return script


def refuse_after_response_began(request: Http2Request) -> None:
    """Refuses a stream whose response has begun, which contradicts it."""
    request.send_headers(500, 10)
    request.reset(ErrorCodes.REFUSED_STREAM)


def send_goaway_and_close(request: Http2Request) -> None:
    request.connection.send_goaway(request.stream_id)
    request.connection.close()


def raise_goaway(request: Http2Request) -> None:
    """Sends a second GOAWAY with a higher last stream id; the first one stays in force."""
    request.connection.send_goaway(request.stream_id)
    request.connection.send_goaway(request.stream_id + 40)
    request.connection.close()


def close_after_first_goaway(request: Http2Request) -> None:
    """Ends a graceful shutdown after the first of its two GOAWAYs."""
    request.connection.send_goaway(GRACEFUL_LAST_STREAM_ID)
    request.connection.close()


STREAM_ENDS: dict[str, Callable[[Http2Request], object]] = {
    "internal error": lambda request: request.reset(ErrorCodes.INTERNAL_ERROR),
    "cancel": lambda request: request.reset(ErrorCodes.CANCEL),
    "no error": lambda request: request.reset(ErrorCodes.NO_ERROR),
    "HTTP/1.1 required": lambda request: request.reset(ErrorCodes.HTTP_1_1_REQUIRED),
    "a TCP reset": lambda request: request.connection.abort(),
    "a close": lambda request: request.connection.close(),
    "begun, then refused": refuse_after_response_began,
    "within the GOAWAY": send_goaway_and_close,
    "a GOAWAY raised": raise_goaway,
    "a first GOAWAY, then a close": close_after_first_goaway,
}


@pytest.mark.parametrize("name", STREAM_ENDS)
@async_test
async def test_a_write_that_may_have_been_processed_is_not_retried(name: str) -> None:
    status, server, origin, counts = await write_to(process_then(STREAM_ENDS[name]))
    assert (status, len(server.processed), len(origin.received)) == (502, 1, 0)
    assert counts["h2.goaways_raised"] == int(name == "a GOAWAY raised")


@async_test
async def test_streams_below_a_graceful_goaway_complete_while_a_new_connection_is_used() -> None:
    received: list[Http2Request] = []
    server, origin = ScriptedHttp2Server(received.append), ScriptedHttp2Server(serve, "o", "origin", "north")
    async with rehearse(server, origin, connections_most=1) as rehearsal:
        requests = [asyncio.create_task(write(rehearsal, n)) for n in range(6)]
        await wait_until(lambda: len(received) == 6)
        connection = server.open_connections[0]
        connection.send_goaway(GRACEFUL_LAST_STREAM_ID)
        later_request = asyncio.create_task(write(rehearsal, 9))
        await wait_until(lambda: len(received) == 7)
        assert (len(server.open_connections), received[6].connection is connection) == (2, False)
        for request in received[:4]:
            request.process()
        assert [request.stream_id for request in received[:6]] == [1, 3, 5, 7, 9, 11]
        connection.send_goaway(connection.last_processed_id)  # the fifth and the sixth were not processed
        await wait_until(lambda: len(received) == 9)  # both were retried on the new connection
        for request in (*received[:4], *received[6:]):
            request.respond(200, b"taken")
        assert await asyncio.gather(*requests, later_request) == [200] * 7
        # The first connection is closed when its last stream has ended.
        await wait_until(lambda: len(server.open_connections) == 1)
    assert sorted(a.ticket for a in received if a.is_processed) == [ticket(n) for n in (*range(6), 9)]
    assert (len(server.processed), origin.received, server.streams_over_limit, server.protocol_errors) == (
        7,
        [],
        0,
        [],
    )


@async_test
async def test_an_incomplete_response_reaches_no_client() -> None:
    def send_half(request: Http2Request) -> None:
        request.send_headers(200, 1_000)
        request.connection.send_body(request, b"x" * 300, False)
        request.reset(ErrorCodes.INTERNAL_ERROR)

    server = ScriptedHttp2Server(send_half)
    async with rehearse(server) as rehearsal:
        status, _, body = await rehearsal.fetch()
        assert (status in (502, 503), body) == (True, b"")
        counters = counters_of(rehearsal)
        assert (counters["answers.cut"], counters["attempts.error"]) == (0, len(server.received))
    assert server.received


@async_test
async def test_an_unresponsive_connection_is_detected_by_ping_and_not_used_any_more() -> None:
    def stop_responding(request: Http2Request) -> None:
        request.connection.is_unresponsive = True

    server = ScriptedHttp2Server(stop_responding)
    async with rehearse(server, ping_after_ms=50.0, ping_wait_ms=50.0) as rehearsal:
        # Both attempts get no response, long before the request's deadline.
        status, _, _ = await rehearsal.fetch(wait_ms=PATIENT_MS)
        assert status in (502, 503)
        assert counters_of(rehearsal)["h2.silent"] == len(server.received)
        assert counters_of(rehearsal)["h2.pings"] >= 1
        server.script = serve
        await wait_until(lambda: not server.open_connections)


@async_test
async def test_a_server_that_sends_nothing_after_accepting_fails_no_request() -> None:
    unresponsive, other = (
        ScriptedHttp2Server(serve, sends_preface=False),
        ScriptedHttp2Server(serve, "c2", capacity=1e-6),
    )
    async with rehearse(unresponsive, other, connect_timeout_ms=100.0) as rehearsal:
        assert (await rehearsal.fetch(wait_ms=PATIENT_MS))[0] == 200
    assert (unresponsive.received, len(other.received)) == ([], 1)


@async_test
async def test_requests_that_a_stalled_server_never_received_are_retried() -> None:
    def stall(request: Http2Request) -> None:
        assert request.connection.transport is not None
        request.connection.transport.pause_reading()

    large: dict[SettingCodes | int, int] = {SettingCodes.INITIAL_WINDOW_SIZE: 2**24}
    server, origin = (
        ScriptedHttp2Server(serve, settings=large, on_headers=stall),
        ScriptedHttp2Server(serve, "o", "origin", "north"),
    )
    outcomes: list[StreamOutcome] = []
    options = options_for("h2c", connections_most=1, ping_after_ms=1_500.0, ping_wait_ms=500.0)
    async with rehearse(server, origin, options=options, connect_timeout_ms=PATIENT_MS) as rehearsal:
        pool_of(rehearsal).on_stream_ended = lambda _, outcome: outcomes.append(outcome)
        requests = [asyncio.create_task(write(rehearsal, 0, body=b"x" * 48_000, wait_ms=PATIENT_MS))]
        await wait_until(lambda: len(server.received) == 1)
        (connection,) = pool_of(rehearsal).groups[0].connections.values()
        for transport in (server.open_connections[0].transport, connection.transport):
            assert transport is not None
            for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
                transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, option, 4_096)
        server.open_connections[0].send_frames(WindowUpdateFrame(0, window_increment=2**30))
        while connection.output.is_writable and len(requests) < 80:
            next_write = write(rehearsal, len(requests), body=b"x" * 48_000, wait_ms=PATIENT_MS)
            requests.append(asyncio.create_task(next_write))
            await asyncio.sleep(0.01)
        assert not connection.output.is_writable
        assert connection.slots is not None and connection.slots.is_stalled
        server.on_headers = None
        statuses = await asyncio.gather(*requests)
        assert statuses.count(200) + statuses.count(502) == len(requests)
    reasons = {outcome.reason for outcome in outcomes}
    assert EndReason.KEEP_ALIVE_TIMEOUT in reasons
    assert {EndReason.NOT_TRANSMITTED, EndReason.HEAD_INCOMPLETE} & reasons, outcomes
    runs = Counter(request.ticket for request in (*server.processed, *origin.processed))
    assert {name: times for name, times in runs.items() if times > 1} == {}
    assert len(runs) == statuses.count(200)


def test_2000_writes_with_random_faults_are_processed_at_most_once_and_retried_with_proof() -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        report = runner.run(run_http2_soak(11, 2_000, 0.12, options_for("h2c")))
    assert not report.has_violation, report
    assert len(report.statuses) == 2_000
    assert len(report.faults) == 13  # each kind of fault occurred
    assert {"above_goaway", "refused"} <= set(report.findings)
    proved = sum(report.findings[reason.value] for reason in UNPROCESSED_REASONS)
    # Not all of them are retried, as the dispatcher has its own limit of retries.
    assert report.recovered_count > proved // 2
    assert sum(status == 200 for status in report.statuses.values()) > 1_500

"""The caches' protocol, byte for byte as in version 090a370: responses read, frames sent, counters.

The data in `golden/upstream_*.json` was written by that version. `test_golden_exchange` checks the requests
over HTTP/1.1.
"""

import asyncio
import json
import socket
from pathlib import Path
from typing import Any, cast

import pytest
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import RequestReceived

from gladewalk import interface as api
from gladewalk.core.counters import Counters
from gladewalk.core.exchange import Attempt, AttemptResult, ClientRequest, OpenRequest, ResponseHead
from gladewalk.core.request_log import RequestLog
from gladewalk.net.bounded_reads import ReadTurns
from gladewalk.upstream.connection_group import ConnectionGroup
from gladewalk.upstream.http1 import Http1Connection, encode_health_check
from gladewalk.upstream.http2 import Http2Connection
from gladewalk.upstream.protocol_fields import read_result
from gladewalk.upstream.reuse_delay import ReuseDelay
from gladewalk.upstream.work_items import HealthCheck

from .http2_rehearsal import options_for

GOLDEN = Path(__file__).parent / "golden"
NOW_MS = 1_764_576_000_000.0
METER = b"inflight:7;util:0.61;queue:3"
GOOD = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTag: 4be0\r\nX-Remark: mem\r\nX-Meter: "
    + METER
    + b"\r\n\r\nabc"
)


def golden(name: str) -> Any:
    return json.loads((GOLDEN / f"upstream_{name}.json").read_text(encoding="utf-8"))


def result_row(end: AttemptResult) -> list[Any]:
    detail = list(api.OutcomeDetail).index(end.detail)
    return [end.status.value, detail, end.source_wait_ms, end.load_report]


def attempt(method: str = "GET", body: bytes = b"", order: api.Fetch | None = None) -> Attempt:
    client_request = ClientRequest(
        "9b1f03aa5c7e2d41", method, "lot-page", "7F3a", 0x7F3A, 3, 3000.0, body=body,
        idempotency_key="k;1" if body else "",
    )  # fmt: skip
    opened = OpenRequest(1, client_request, cast(Any, None), NOW_MS, NOW_MS + 3000.0)
    return Attempt(opened, 0, order or api.Fetch(1, "c1", "p1"), NOW_MS, NOW_MS + 2500.4)


# The result of an attempt by its complete response.

FIELDS: list[dict[str, str]] = [
    {},
    *({"x-remark": word} for word in (
        "mem", "parent", "origin", "shared", "old", "denied", "unreached", "absent", "crowded", "behind", "?",
    )),
    {"x-shed": "1"},
    {"x-shed": "0", "fill-wait": "12.5"},
    {"fill-wait": "soon", "x-meter": METER.decode()},
    {"fill-wait": "0", "x-meter": "inflight:7;util:x; hit_ratio : 0.5;;a"},
    {"x-meter": ""},
]  # fmt: skip


def read_results() -> list[Any]:
    return [
        [status, fields, result_row(read_result(status, {k.encode(): v.encode() for k, v in fields.items()}))]
        for status in (200, 304, 404, 400, 429, 500, 503, 504)
        for fields in FIELDS
    ]


def test_complete_responses_have_the_recorded_results() -> None:
    assert json.loads(json.dumps(read_results())) == golden("ends")


# Responses over HTTP/1.1, complete and invalid.


class RecordingExchange:
    """Records the parts of a response that are forwarded."""

    def __init__(self, events: list[Any]) -> None:
        self.events = events
        self.request_log: RequestLog

    def response_started(self, attempt: Attempt, head: ResponseHead) -> bool:
        self.events.append(["head", head.is_not_modified, head.content_length, head.etag])
        return True

    def response_body(self, attempt: Attempt, body: bytes) -> None:
        self.events.append(["body", body.decode("latin-1")])


class RecordingPool:
    """A stand-in for the pool and for its only server."""

    def __init__(self) -> None:
        self.events: list[Any] = []
        self.exchange = RecordingExchange(self.events)
        self.counters = Counters()
        self.exchange.request_log = RequestLog(self.clock, self.counters)
        self.reuse_delay = ReuseDelay()
        self.open_connections: set[Any] = set()
        self.read_turns = ReadTurns()
        self.idle: list[Any] = []
        self.pool, self.address, self.name, self.is_removed = self, ("127.0.0.1", 1), "c1", False
        self.group: Any = None
        self.on_stream_ended = None

    def clock(self) -> float:
        return NOW_MS

    def serve_waiting(self) -> None:
        pass

    def release(self, connection: Http1Connection) -> None:
        self.events.append(["rests"])

    def forget(self, connection: Http1Connection) -> None:
        pass

    def finish(self, item: Any, end: AttemptResult) -> None:
        self.events.append(["end", *result_row(end)])

    def fall_back(self, upstream_server: Any, reason: str) -> None:
        self.events.append(["speaks HTTP/1.1"])


class RecordingTransport:
    """A transport that keeps all written bytes; its reported buffer size can be set."""

    def __init__(self, events: list[Any]) -> None:
        self.events, self.written, self.unsent_bytes = events, b"", 0
        self.socket, self.other = socket.socketpair()

    def get_extra_info(self, name: str) -> Any:
        return self.socket if name == "socket" else None

    def write(self, data: bytes) -> None:
        self.written += data

    def get_write_buffer_size(self) -> int:
        return self.unsent_bytes

    def set_write_buffer_limits(self, high: int, low: int) -> None:
        pass

    def is_closing(self) -> bool:
        return False

    def abort(self) -> None:
        self.events.append(["abort"])

    def close(self) -> None:
        self.events.append(["close"])

    def pause_reading(self) -> None:
        self.events.append(["pause"])

    def resume_reading(self) -> None:
        self.events.append(["resume"])


def length_head(length: int) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTag: 4be0\r\n\r\n"
HTTP1_RESPONSES: dict[str, list[bytes]] = {
    "whole": [GOOD],
    "byte by byte": [bytes([byte]) for byte in GOOD],
    "chunked": [CHUNKED, b"3\r\nabc\r\n", b"0\r\n\r\n"],
    "unchanged": [b"HTTP/1.1 304 Not Modified\r\nTag: 4be0\r\n\r\n"],
    "missing": [b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nX-Remark: absent\r\n\r\n"],
    "shed": [b"HTTP/1.1 503 Busy\r\nX-Shed: 1\r\nContent-Length: 0\r\nX-Meter: util:0.99\r\n\r\n"],
    "shed unsent": [b"HTTP/1.1 504 Late\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n"],
    "an error with a body": [b"HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\nabc"],
    "an interim answer": [b"HTTP/1.1 100 Continue\r\nTag: 1\r\n\r\n", GOOD],
    "the last": [GOOD.replace(b"Tag", b"Connection: close\r\nTag")],
    "surplus in one read": [GOOD + b"HTTP/1.1 200 OK\r\n"],
    "surplus later": [GOOD, b"x"],
    "no length": [b"HTTP/1.1 200 OK\r\n\r\nabc"],
    "length and chunked": [CHUNKED.replace(b"Tag: 4be0", b"Content-Length: 3")],
    "two lengths": [GOOD.replace(b"Tag", b"Content-Length: 3\r\nTag")],
    "length that is none": [b"HTTP/1.1 200 OK\r\nContent-Length: 3x\r\n\r\nabc"],
    "length too great": [length_head(240_001)],
    "chunks too great": [CHUNKED, b"3A980\r\n" + b"x" * 240_000 + b"\r\n", b"1\r\nx\r\n"],
    "a head without end": [b"HTTP/1.1 200 OK\r\n", *[b"X-A: " + b"y" * 8_000 + b"\r\n"] * 3],
    "noise": [b"\x16\x03\x01\x00\x00"],
    "chunk that is none": [CHUNKED, b"zz\r\n"],
    "framing without end": [CHUNKED, *[b"3;" + b"e" * 30_000] * 4],
    "upgrade": [b"HTTP/1.1 101 Switching\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\nabc"],
    "cut": [length_head(3), b"ab", b""],
    "cut before the head": [b"HTTP/1.1 2", b""],
    "lost": [b""],
}


def read_response(pieces: list[bytes], is_health_check: bool = False, unsent_bytes: int = 0) -> Any:
    """Returns the events and counters of a response in these pieces; an empty piece ends the connection."""
    pool = RecordingPool()
    transport = RecordingTransport(pool.events)
    connection = Http1Connection(cast(Any, pool))
    connection.connection_made(cast(Any, transport))
    check = HealthCheck(lambda status, ms, load: None, NOW_MS, "/load")
    connection.send(check if is_health_check else attempt())
    transport.unsent_bytes = unsent_bytes
    for piece in pieces:
        if piece:
            connection.data_received(piece)
        else:
            connection.connection_lost(None)
    events = [["body", len(e[1])] if e[0] == "body" and len(e[1]) > 99 else e for e in pool.events]
    return {"events": events, "counters": dict(pool.counters)}


def record_http1_responses() -> dict[str, Any]:
    recorded = {name: read_response(pieces) for name, pieces in HTTP1_RESPONSES.items()}
    recorded["lost, not all written"] = read_response([b""], unsent_bytes=1)
    recorded["probe"] = read_response([GOOD], is_health_check=True)
    recorded["probe shed"] = read_response(HTTP1_RESPONSES["shed"], is_health_check=True)
    return recorded


def test_http1_responses_are_read_as_recorded() -> None:
    assert json.loads(json.dumps(record_http1_responses())) == golden("http1_answers")


def test_a_health_check_is_sent_as_recorded() -> None:
    check = HealthCheck(lambda status, ms, load: None, NOW_MS, "/load")
    assert encode_health_check(check).decode() == golden("probe")


# Frames over HTTP/2.


class Http2Server:
    """The server side of one HTTP/2 connection, in memory."""

    def __init__(self, **options: Any) -> None:
        self.pool = RecordingPool()
        self.transport = RecordingTransport(self.pool.events)
        options = {"cancels_burst": 8, **options}
        self.group = ConnectionGroup(cast(Any, self.pool), cast(Any, self.pool), options_for(**options).http2)
        self.pool.group = self.group
        self.group.allocator.dial_begun()
        self.connection = Http2Connection(self.group, is_tls=False)
        self.group.connection_opened(self.connection)
        self.connection.connection_made(cast(Any, self.transport))
        self.server = H2Connection(H2Configuration(client_side=False, header_encoding=None))
        self.server.initiate_connection()
        self.sent_data = b""

    def take_sent(self) -> bytes:
        """Returns what the director has sent since the last call."""
        new, self.transport.written = self.transport.written, b""
        self.sent_data += new
        return new

    def receive(self) -> list[Any]:
        return self.server.receive_data(self.take_sent())

    def reply(self) -> None:
        self.connection.data_received(self.server.data_to_send())


REQUESTS: dict[str, Attempt | None] = {
    "read": attempt(),
    "write": attempt("PUT", b"12 boxes"),
    "fetch": attempt(order=api.Fetch(1, "c1", "c2", cache_rank=3, max_age_ms=20_000.7, join_fill=True)),
    "probe": None,
}


async def record_frames() -> dict[str, Any]:
    """Returns the bytes of the preface, the settings, each request, and its repetition (indexed fields)."""
    recorded = {}
    for name, given_attempt in REQUESTS.items():
        peer = Http2Server()
        steps = [peer.take_sent().hex()]
        peer.server.receive_data(peer.sent_data)
        peer.reply()
        steps.append(peer.take_sent().hex())
        for _ in range(2):
            work_item = given_attempt or HealthCheck(lambda status, ms, load: None, NOW_MS, "/load")
            peer.connection.send(work_item)
            steps.append(peer.take_sent().hex())
        recorded[name] = steps
    return recorded


def test_requests_over_http2_are_sent_as_the_recorded_frames() -> None:
    assert asyncio.run(record_frames()) == golden("http2_frames")


def send_head(server: H2Connection, stream: int, *extra_fields: tuple[str, str]) -> None:
    server.send_headers(stream, [(":status", "200"), ("content-length", "3"), ("tag", "4be0"), *extra_fields])


def send_complete_response(server: H2Connection, stream: int) -> None:
    send_head(server, stream, ("x-remark", "mem"), ("x-meter", METER.decode()))
    server.send_data(stream, b"abc", end_stream=True)


def send_invalid_length(server: H2Connection, stream: int) -> None:
    server.send_headers(stream, [(":status", "200"), ("content-length", "3x")])


def send_excessive_length(server: H2Connection, stream: int) -> None:
    server.send_headers(stream, [(":status", "200"), ("content-length", "240001")])


def send_shed_response(server: H2Connection, stream: int) -> None:
    server.send_headers(stream, [(":status", "503"), ("x-shed", "1")], end_stream=True)


def reset_with(code: int) -> Any:
    return lambda server, stream: server.reset_stream(stream, code)


def goaway(last: int, code: int) -> Any:
    return lambda server, stream: server.close_connection(code, last_stream_id=last)


def refuse_after_response_began(server: H2Connection, stream: int) -> None:
    send_head(server, stream)
    server.reset_stream(stream, ErrorCodes.REFUSED_STREAM)


HTTP2_RESPONSES: dict[str, Any] = {
    "whole": send_complete_response,
    "bad length": send_invalid_length,
    "too great": send_excessive_length,
    "shed": send_shed_response,
    "refused": reset_with(ErrorCodes.REFUSED_STREAM),
    "cancelled": reset_with(ErrorCodes.CANCEL),
    "failed": reset_with(ErrorCodes.INTERNAL_ERROR),
    "calm": reset_with(ErrorCodes.ENHANCE_YOUR_CALM),
    "HTTP/1.1": reset_with(ErrorCodes.HTTP_1_1_REQUIRED),
    "begun then refused": refuse_after_response_began,
    "above the goaway": goaway(0, ErrorCodes.NO_ERROR),
    "below the goaway": goaway(2**31 - 1, ErrorCodes.NO_ERROR),
}


async def record_http2_responses() -> dict[str, Any]:
    recorded = {}
    for name, script in HTTP2_RESPONSES.items():
        peer = Http2Server()
        peer.receive()
        peer.reply()
        peer.connection.send(attempt())
        (request,) = (event for event in peer.receive() if isinstance(event, RequestReceived))
        script(peer.server, request.stream_id)
        peer.reply()
        reply = peer.take_sent().hex()
        peer.connection.connection_lost(None)
        recorded[name] = {"events": peer.pool.events, "counters": dict(peer.pool.counters), "reply": reply}
    for name, invalid_data in {"not HTTP/2": b"HTTP/1.1 400 No\r\n\r\n", "flood": b""}.items():
        peer = Http2Server(control_burst=4)
        peer.receive()
        if not invalid_data:
            peer.reply()
            peer.connection.send(attempt())
            peer.receive()
            for _ in range(9):
                peer.server.ping(b"12345678")
            peer.reply()
        else:
            peer.connection.data_received(invalid_data)
        reply = peer.take_sent().hex()
        peer.connection.connection_lost(None)
        recorded[name] = {"events": peer.pool.events, "counters": dict(peer.pool.counters), "reply": reply}
    return recorded


def test_http2_responses_are_read_as_recorded() -> None:
    assert json.loads(json.dumps(asyncio.run(record_http2_responses()))) == golden("http2_answers")


@pytest.mark.parametrize("name", ["ends", "http1_answers", "http2_answers", "http2_frames"])
def test_the_golden_data_is_not_empty(name: str) -> None:
    assert len(golden(name)) >= 4

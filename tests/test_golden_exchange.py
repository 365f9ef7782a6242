"""The bytes of the feed, client and cache protocols and the names in the log are those of version 090a370.

The data in `golden/exchange_*.json` was written by that version. One log event, which no page of the
documentation names, has been renamed since: `listen_address_needs_restart` was "another address to listen at
is taken up at a restart".
"""

import asyncio
import json
import re
from pathlib import Path
from typing import Any, cast

import pytest
import structlog

from gladewalk import interface as api
from gladewalk.config.platform import Address, read_config
from gladewalk.core.counters import Counters
from gladewalk.core.exchange import Attempt, ClientRequest, Exchange, OpenRequest
from gladewalk.net.coordinator import CoordinatorConnection, CoordinatorWatch
from gladewalk.net.endpoint_feed import EndpointFeed
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import DirectorHarness, config_for, wait_until
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer
from gladewalk.upstream.http1 import encode_request as encode_attempt

from .server_scripts import BYTES, hit, miss_then_fill, never_respond, reset, reset_mid_body

GOLDEN = Path(__file__).parent / "golden"
NOW_MS = 1_764_576_000_000.0
PATH = "/invoke/lot-page/a1?nth=0"


def golden(name: str) -> Any:
    return json.loads((GOLDEN / f"exchange_{name}.json").read_text(encoding="utf-8"))


# The coordinator's feed.


class RecordingExchange:
    """Records the interface events that lines of the feed are parsed into."""

    def __init__(self) -> None:
        self.events: list[Any] = []

    def update_servers(
        self, event: api.EndpointList, addresses: dict[str, Address | None], models: dict[str, str]
    ) -> None:
        servers = [
            [
                server.name, list(api.Role).index(server.role), server.zone, server.capacity,
                list(api.ServerState).index(server.state), server.started_ms, server.cell, server.address,
            ]
            for server in event.servers
        ]  # fmt: skip
        self.events.append(["list", list(api.EndpointListKind).index(event.kind), servers, addresses, models])

    def purge(self, event: api.Purge) -> None:
        self.events.append(["purge", event.key, event.group, event.age_ms])


def target(uid: str, **overrides: Any) -> dict[str, Any]:
    entry = {"uid": uid, "endpoint": f"10.0.0.1:80{uid[1:]}", "az": "edge-1", "model": "standard"}
    return {**entry, "pod_group": 2, "state": "SERVING", "capacity_hint": 4, "boot_ms": 12.5, **overrides}


def endpoints(*targets: Any, full: Any = False) -> dict[str, Any]:
    return {"endpoints": {"rev": 1, "all": full, "targets": list(targets)}}


FEED_LINES: list[bytes] = [
    line if isinstance(line, bytes) else json.dumps(line).encode()
    for line in [
        {"index": 1, **endpoints(target("c1"), target("c2", model="parent"), full=True)},
        {"index": 2, **endpoints(target("c1", state="DRAINING"), {"uid": "c3", "endpoint": "[::1]:81", "state": "SERVING"})},  # noqa: E501
        {"index": 3, **endpoints({"uid": "c2", "state": "DELETED"})},
        {"index": 4, **endpoints(target("c4", model="origin", capacity_hint=None, boot_ms=None), full=True)},
        {"index": 4, **endpoints(target("c9"))},
        b"4",
        b"  4 ",
        {"index": 5, "evict": {"ref": "7f3a9c21e0b4d655", "unix_ms": NOW_MS - 40.0}},
        {"index": 6, "evict": {"shard": 3, "unix_ms": NOW_MS + 40.0}},
        {"index": 7, "evict": {"ref": "a1", "shard": 2, "unix_ms": NOW_MS}, **endpoints(target("c5"))},
        {"index": 8, "something": "else"},
        {"index": 10, "evict": {"shard": 3, "unix_ms": NOW_MS}},
        b"9",
        b"noise",
        b"true",
        b"[]",
        b'{"index":true}',
        b'{"index":"9"}',
        {"index": 9, **endpoints(target("c6"), target("c7", state="NAPPING"), full=True)},
        {"index": 9, **endpoints(target("c6"), target("c7", state="NAPPING"), full=True)},
        {"index": 9, **endpoints(target("c6"), target("c7", state="NAPPING"), full=True)},
        {"index": 9, **endpoints(target("c6"), target("c7", state="NAPPING"), full=True)},
        {"index": 10, "evict": {"ref": "xyz", "unix_ms": NOW_MS}},
        {"index": 10, "evict": {"ref": "b2", "unix_ms": NOW_MS}},
    ]
]  # fmt: skip


def read_feed() -> dict[str, Any]:
    """Returns for each line its result, the last index after it and the interface events it caused."""
    exchange, counters = RecordingExchange(), Counters()
    config = read_config({**config_for([], Coordinator(address="127.0.0.1:1")), "known": None}, {})
    feed = EndpointFeed(cast(Exchange, exchange), config, lambda: NOW_MS, counters)
    results: list[Any] = []
    for line in FEED_LINES:
        is_valid = feed.read_line(line)
        results.append([line.decode(), is_valid, feed.last_index, exchange.events])
        exchange.events = []
    return {"steps": results, "counters": dict(counters)}


class FeedTransport:
    def __init__(self) -> None:
        self.written = b""

    def write(self, data: bytes) -> None:
        self.written += data


class FollowedFeed:
    last_index = 1234567


class AcceptingWatch:
    feed = FollowedFeed()

    def make_current(self, connection: CoordinatorConnection) -> bool:
        return True


def follow_line() -> str:
    transport = FeedTransport()
    connection = CoordinatorConnection(cast(CoordinatorWatch, AcceptingWatch()), ("127.0.0.1", 1))
    connection.connection_made(cast(asyncio.BaseTransport, transport))
    return transport.written.decode()


def test_lines_of_the_feed_are_parsed_into_the_same_events() -> None:
    assert json.loads(json.dumps(read_feed())) == golden("feed")


def test_the_coordinator_is_sent_the_same_follow_line() -> None:
    assert follow_line() == golden("follow")


# Requests to caches.

FETCHES: list[dict[str, Any]] = [
    {},
    {"source": "p1"},
    {"source": "p1", "cache_rank": 0, "max_age_ms": 0.4},
    {"source": "p1", "cache_rank": 3, "max_age_ms": 20_000.7, "join_fill": True},
    {"cached_only": True},
    {"source": "o", "join_fill": True, "parent_caches": False, "revalidate": True, "cached_only": True},
]


def requests_to_caches() -> list[str]:
    """Returns the bytes of a lookup, of fetches of every form, of a conditional request and of a write."""
    read = ClientRequest("9b1f03aa5c7e2d41", "GET", "lot-page", "7F3a", 0x7F3A, 3, 3000.0)
    conditional = ClientRequest("00c0ffee00c0ffee", "GET", "lot-page", "a1", 0xA1, 0, 3000.0, etag="4be0")
    write = ClientRequest(
        "9b1f03aa5c7e2d41", "PUT", "bid", "b1", 0xB1, 0, 3000.0, body=b"12 boxes", idempotency_key="k;1",
        is_retry=True,
    )  # fmt: skip
    decisions: list[tuple[ClientRequest, api.Lookup | api.Fetch]] = [
        (client_request, api.Lookup(1, "c1")) for client_request in (read, conditional, write)
    ]
    decisions += [(read, api.Fetch(1, "c1", **{"source": "c1", **fetch})) for fetch in FETCHES]
    decisions += [(conditional, api.Fetch(1, "c1", "p1")), (write, api.Fetch(1, "o", "o", cache_rank=0))]
    written = []
    for client_request, decision in decisions:
        opened = OpenRequest(1, client_request, cast(Any, None), NOW_MS, NOW_MS + 3000.0)
        attempt = Attempt(opened, 0, decision, NOW_MS, NOW_MS + 2500.4)
        written += [encode_attempt(attempt, now_ms).decode() for now_ms in (NOW_MS, NOW_MS + 9000.0)]
    return written


def test_caches_are_sent_the_same_requests() -> None:
    assert requests_to_caches() == golden("requests")


# Responses to clients.


async def chunked(request: ReceivedRequest) -> None:
    request.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTag: 4be0\r\n\r\n")
    request.writer.write(b"3\r\nabc\r\n")
    await request.writer.drain()
    request.writer.write(b"0\r\n\r\n")


async def small(request: ReceivedRequest) -> None:
    await request.respond(200, b"abc", Tag="4be0")


async def without_tag(request: ReceivedRequest) -> None:
    await request.respond(200, b"abc")


async def unchanged(request: ReceivedRequest) -> None:
    await request.respond(304, Tag="4be0")


EXCHANGES: dict[str, tuple[Any, dict[str, Any], list[bytes]]] = {
    "200": (small, {}, [encode_request(PATH)]),
    "200 without a tag": (without_tag, {}, [encode_request(PATH)]),
    "200 chunked": (chunked, {}, [encode_request(PATH)]),
    "200 and the last": (small, {}, [encode_request(PATH, Connection="close")]),
    "304": (unchanged, {}, [encode_request(PATH, If_None_Match='W/"4be0"')]),
    "refused": (hit, {"state": "DRAINING"}, [encode_request(PATH)]),
    "failed": (never_respond, {}, [encode_request(PATH, wait_ms=150.0)]),
    "cut": (reset_mid_body, {}, [encode_request(PATH)]),
    "health": (hit, {}, [encode_request("/_health")]),
    "400 object": (hit, {}, [encode_request("/invoke/lot-page/xyz")]),
    "400 part": (hit, {}, [encode_request("/invoke/lot-page/a1?nth=-1")]),
    "400 trace": (hit, {}, [encode_request(PATH, trace="12")]),
    "400 patience": (hit, {}, [encode_request(PATH, wait_ms=float("nan"))]),
    "400 noise": (hit, {}, [b"\x16\x03\x01\r\n\r\n"]),
    "400 two lengths": (hit, {}, [encode_request(PATH, Content_Length="4", content_length="5")]),
    "404 path": (hit, {}, [encode_request("/elsewhere")]),
    "404 class": (hit, {}, [encode_request("/invoke/no-such-class/a1")]),
    "405 method": (hit, {}, [encode_request(PATH, method="DELETE")]),
    "405 read of a write": (hit, {}, [encode_request("/invoke/bid/a1")]),
    "413": (hit, {}, [encode_request("/invoke/bid/b1", method="PUT", body=b"x" * 70_000)]),
    "431": (hit, {}, [encode_request(PATH + "&x=" + "y" * 20_000)]),
    "several": (
        small,
        {},
        [
            encode_request(PATH),
            encode_request("/_health"),
            encode_request("/elsewhere"),
            encode_request(PATH),
        ],
    ),
    "100": (
        reset,
        {},
        [encode_request("/invoke/bid/b1", method="PUT", Content_Length="2", Expect="100-continue")],
    ),
}


async def exchange_bytes(harness: DirectorHarness, requests: list[bytes]) -> str:
    """Returns all bytes received on one connection, up to as many responses as there are requests."""
    reader, writer = await harness.connect()
    writer.write(b"".join(requests))
    received = b""
    try:
        for _ in requests:
            head = await reader.readuntil(b"\r\n\r\n")
            received += head
            if b"Transfer-Encoding" in head:
                received += await reader.readuntil(b"0\r\n\r\n")
            elif length := re.search(rb"Content-Length: (\d+)", head):
                received += await reader.readexactly(int(length[1]))
    except asyncio.IncompleteReadError as error:
        received += error.partial + b"<end>"
    except ConnectionError:
        received += b"<reset>"
    writer.close()
    return received.decode("latin-1")


async def response_to(name: str) -> str:
    script, overrides, requests = EXCHANGES[name]
    async with DirectorHarness([ScriptedServer(script, **overrides)]) as harness:
        await wait_until(lambda: harness.director is not None and harness.director.readiness.is_synced)
        return await exchange_bytes(harness, requests)


async def health_before_the_feed() -> str:
    """Returns a health check's response before the coordinator has sent anything."""
    may_respond = asyncio.Event()
    async with DirectorHarness([], coordinator=Coordinator(responses_allowed=may_respond)) as harness:
        response = await exchange_bytes(harness, [encode_request("/_health")])
        may_respond.set()
        await wait_until(lambda: harness.director is not None and harness.director.readiness.is_synced)
        return response


async def rejections(hold_off: bool) -> list[str]:
    """Returns rejections, each for another time after which the module advises to retry."""
    received = []
    async with DirectorHarness([ScriptedServer(hit)]) as harness:
        assert harness.director is not None
        exchange, front = harness.director.exchange, harness.director.front
        front.sends_hold_off = hold_off
        for retry_after_ms in (0.0, 0.4, 140.0, 999.5, 1000.0, 2300.7):

            def reject(now_ms: float, event: api.Event, wait_ms: float = retry_after_ms) -> list[api.Action]:
                return [api.Reject(event.id, wait_ms)] if isinstance(event, api.Request) else []

            exchange.dispatcher.handle = reject  # type: ignore[method-assign]
            received.append(await exchange_bytes(harness, [encode_request(PATH)]))
    return received


@pytest.mark.parametrize("name", EXCHANGES)
def test_clients_get_the_same_responses(name: str) -> None:
    assert asyncio.run(response_to(name)) == golden("answers")[name]


def test_a_health_check_before_the_feed_gets_the_same_response() -> None:
    assert asyncio.run(health_before_the_feed()) == golden("unready")


@pytest.mark.parametrize("hold_off", [False, True])
def test_rejected_clients_get_the_same_retry_advice(hold_off: bool) -> None:
    assert asyncio.run(rejections(hold_off)) == golden("refusals")[str(hold_off)]


# Names in the log.


async def log_events() -> dict[str, Any]:
    """Returns the log events of a short run with their fields, which for `counters` are the counters."""
    cache, parent = ScriptedServer(miss_then_fill), ScriptedServer(hit, "p1", "parent", "north")
    with structlog.testing.capture_logs() as lines:
        async with DirectorHarness([cache, parent]) as harness:
            director = harness.director
            assert director is not None
            await wait_until(lambda: director.readiness.is_synced)
            assert (await harness.fetch(PATH))[2] == BYTES
            for path in ("/elsewhere", "/invoke/lot-page/xyz", "/invoke/bid/a1"):
                await harness.fetch(path)
            harness.coordinator.publish(evict={"ref": "a1", "unix_ms": 1.0})
            await wait_until(lambda: director.endpoint_feed.last_index == 2)
            harness.coordinator.disconnect()
            await wait_until(lambda: len(harness.coordinator.followed_from) == 2)
            raw = config_for([cache, parent], harness.coordinator)
            director.apply(read_config({**raw, "listen": "127.0.0.1:1"}, {}))
            director.reload()
            director.report()
            director.stop()
            for state in ("DRAINING", "DRAINING"):
                cache.state = parent.state = state
            harness.coordinator.publish_endpoints(cache, parent)
            await wait_until(lambda: director.endpoint_feed.last_index == 3)
            reader, writer = await harness.connect()
            writer.write(encode_request(PATH))
            await read_message(reader)
            writer.close()
            await wait_until(lambda: not director.front.connections)
            director.report()
    return {
        "events": [
            [line["event"], line["log_level"], sorted(set(line) - {"event", "log_level"})] for line in lines
        ],
    }


def test_the_log_has_the_same_events_fields_and_counters(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("NODE_CONFIG", "")
    assert asyncio.run(log_events()) == golden("log")

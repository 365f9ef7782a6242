"""Tests of the HTTP front for imported nginx sites, end to end on loopback."""

import asyncio
import tempfile
import unittest
from pathlib import Path

import pytest

from gladewalk.config.options import build_options, read_option_tables
from gladewalk.nginx.table import Site, UpstreamServerRow
from gladewalk.nginx.translate import import_site
from gladewalk.rehearsal.director_harness import wait_until
from gladewalk.rehearsal.scripted_servers import ReceivedRequest
from gladewalk.rehearsal.site_harness import SiteHarness, SiteResponse
from gladewalk.upstream.reuse_delay import REUSE_DELAY_MS
from gladewalk.web.passive_health import PassiveHealthCheck
from gladewalk.web.start import load_routing

from .test_nginx import CORPUS, FILES, expectations


def site_of(text: str) -> Site:
    """Imports an nginx configuration from its text."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "f.conf"
        path.write_text(text)
        return import_site(str(path))


def describe_response(response: SiteResponse) -> str:
    """Returns a response in the notation of the corpus for landings."""
    if response.server:
        _, _, target = response.body.decode().split(" ", 2)
        return f"upstream {response.server.rpartition('/')[0]} {target}"
    return f"answer {response.status} {response.headers.get('location') or response.body.decode()}".rstrip()


@pytest.mark.parametrize("path", [p for p in FILES if list(expectations(p))], ids=lambda path: path.stem)
def test_corpus_requests_reach_their_expected_landings(path: Path) -> None:
    """Guards against a front that routes otherwise than the router, whose landings the corpus states.

    Left out are requests from other client addresses, those with a Content-Length, and HEAD, whose response
    does not show the target.
    """

    async def request_all() -> None:
        site = import_site(str(path))
        async with SiteHarness(site) as harness:
            for each in expectations(path):
                requested = each.asked
                if requested.client_address != "127.0.0.1" or "content-length" in each.fields:
                    continue
                if requested.method == "HEAD":
                    continue
                if requested.host == "":
                    data = f"{requested.method} {requested.uri} HTTP/1.0\r\n".encode()
                    data += b"".join(f"{k}: {v}\r\n".encode() for k, v in each.fields.items()) + b"\r\n"
                    pending_response = harness.send(data, listen=requested.listen)
                else:
                    pending_response = harness.fetch(
                        requested.uri, requested.host, requested.method, b"", requested.listen, **each.fields
                    )
                if each.landing == "answer 444":
                    with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                        await pending_response
                    continue
                assert describe_response(await pending_response) == each.landing, str(requested)

    asyncio.run(request_all())


TWO_SERVERS = """upstream a { server 127.0.0.1:1; server 127.0.0.1:2; }
server { listen 8080; server_name example.com; location / { proxy_pass http://a; %s } }"""


class LoadShares(unittest.IsolatedAsyncioTestCase):
    async def test_a_server_that_responds_faster_does_not_get_all_requests(self) -> None:
        """Guards against weighting servers by response times, which the core does for hits of caches only."""

        async def slow(received: ReceivedRequest) -> None:
            await asyncio.sleep(0.02)
            await received.respond(200, b"", X_Server=received.server.uid)

        directives = "proxy_cache_lock on; proxy_cache_valid 200 1m; proxy_cache_use_stale error;"
        async with SiteHarness(site_of(TWO_SERVERS % directives), {"a/0": slow}) as harness:
            for number in range(60):
                self.assertEqual((await harness.fetch(f"/{number}")).status, 200)
            shares = sorted(len(server.received) for server in harness.servers.values())
            self.assertGreater(shares[0], 10)
            exchange = harness.director.web.upstreams["a"]  # type: ignore[union-attr]
            servers = exchange.dispatcher.state.registry.servers.values()
            self.assertEqual({server.weight for server in servers}, {1.0})
            core_settings = exchange.dispatcher.state.settings
            self.assertEqual(
                (
                    core_settings.may_join_fills,
                    core_settings.classes[0].freshness_lifetime_ms,
                    core_settings.classes[0].stale_grace_ms,
                ),
                (True, 6e4, 6e4),
            )


class Messages(unittest.IsolatedAsyncioTestCase):
    async def test_fields_bodies_and_ranges_are_forwarded_as_http_requires(self) -> None:
        requests: list[ReceivedRequest] = []

        async def respond_by_request(received: ReceivedRequest) -> None:
            requests.append(received)
            if received.path == "/chunked":
                received.writer.write(
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
                )
            elif received.path == "/close":
                received.writer.write(b"HTTP/1.0 200 OK\r\n\r\nto the end")
                await received.writer.drain()
                received.writer.close()
            elif "range" in received.headers:
                await received.respond(
                    206, b"part", Content_Range="bytes 0-3/9", Connection="X-Hop", X_Hop="1"
                )
            elif "if-none-match" in received.headers:
                received.writer.write(b'HTTP/1.1 304 Not Modified\r\nETag: "e"\r\n\r\n')
            elif received.method == "HEAD":
                received.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n")
            else:
                await received.respond(
                    201, received.body, Set_Cookie="a=1", Server="x", Location="http://a/s/there"
                )

        site = site_of("""upstream a { server 127.0.0.1:1; }
            server { listen 8080; server_name example.com; client_max_body_size 1k;
              add_header X-From "$host" always;
              location / { proxy_pass http://a; proxy_set_header Host $host;
                proxy_set_header X-Real $remote_addr;
                proxy_set_header X-Forwarded-For $proxy_add_x_forwarded_for; proxy_set_header Accept ""; }
              location /p/ { proxy_pass http://a/s/; } }""")
        async with SiteHarness(site, {"a/0": respond_by_request}) as harness:
            client_response = await harness.fetch(
                "/x",
                method="PUT",
                body=b"body",
                Accept="a/b",
                Cookie="c=d",
                TE="trailers",
                X_Forwarded_For="10.0.0.9",
            )
            received = requests[-1]
            self.assertEqual(
                (client_response.status, client_response.body, client_response.headers["set-cookie"]),
                (201, b"body", "a=1"),
            )
            self.assertEqual(
                (client_response.headers["x-from"], "server" in client_response.headers),
                ("example.com", False),
            )
            expected = {"host": "example.com", "x-real": "127.0.0.1",
                        "x-forwarded-for": "10.0.0.9, 127.0.0.1",
                        "cookie": "c=d", "content-length": "4"}  # fmt: skip
            self.assertEqual(received.headers, expected)
            client_response = await harness.fetch("/p/y", method="POST", body=b"z")
            self.assertEqual((requests[-1].path, requests[-1].headers["host"]), ("/s/y", "a"))
            self.assertEqual(client_response.headers["location"], "http://example.com:8080/p/there")
            client_response = await harness.fetch("/x", Range="bytes=0-3")
            self.assertEqual(
                (client_response.status, client_response.body, client_response.headers["content-range"]),
                (206, b"part", "bytes 0-3/9"),
            )
            self.assertNotIn("x-hop", client_response.headers)
            client_response = await harness.fetch("/x", If_None_Match='"e"')
            self.assertEqual(
                (client_response.status, client_response.headers["etag"], client_response.body),
                (304, '"e"', b""),
            )
            client_response = await harness.fetch("/x", method="HEAD")
            self.assertEqual(
                (client_response.status, client_response.headers["content-length"], client_response.body),
                (200, "7", b""),
            )
            self.assertEqual((await harness.fetch("/chunked")).body, b"abc")
            self.assertEqual((await harness.fetch("/close")).body, b"to the end")
            self.assertEqual((await harness.fetch("/x", method="POST", body=b"x" * 1_025)).status, 413)

    async def test_a_large_response_streams_at_the_clients_pace(self) -> None:
        sent = 0

        async def stream(received: ReceivedRequest) -> None:
            nonlocal sent
            received.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n")
            for _ in range(300):
                received.writer.write(bytes(100_000))
                await received.writer.drain()
                sent += 100_000

        async with SiteHarness(site_of(TWO_SERVERS % ""), {"a/0": stream, "a/1": stream}) as harness:
            reader, writer = await asyncio.open_connection(*harness.address())
            writer.write(b"GET /x HTTP/1.1\r\nHost: example.com\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            previous = -1
            while sent != previous:  # the server is paused before it has sent all: the client reads nothing
                previous = sent
                await asyncio.sleep(0.3)
            self.assertLess(sent, 25_000_000)
            self.assertEqual(len(await reader.readexactly(30_000_000)), 30_000_000)
            writer.close()

    async def test_invalid_and_ambiguous_messages_get_a_4xx_and_reach_no_server(self) -> None:
        async with SiteHarness(site_of(TWO_SERVERS % "")) as harness:
            for data, status in (
                (b"GET /x HTTP/1.1\r\n\r\n", 400),  # no Host
                (b"GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
                (b"GET /../x HTTP/1.1\r\nHost: a\r\n\r\n", 400),
                (b"GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n", 400),
                (b"GET /x HTTP/1.1\r\nHost: a/b\r\n\r\n", 400),
                (
                    b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
                    400,
                ),
                (b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n", 413),
                (b"GET /" + b"x" * 20_000 + b" HTTP/1.1\r\nHost: a\r\n\r\n", 431),
                (b"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", 405),
                (b"\x16\x03\x01\x02\x00\x01", 400),
            ):
                self.assertEqual((await harness.send(data)).status, status, data[:60])
            self.assertEqual(sum(len(server.received) for server in harness.servers.values()), 0)
            response = await harness.send(b"GET http://example.com/abs?q HTTP/1.1\r\nHost: other\r\n\r\n")
            self.assertTrue(response.body.endswith(b"GET /abs?q"), response.body)

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        async with SiteHarness(site_of(TWO_SERVERS % "")) as harness:
            reader, writer = await asyncio.open_connection(*harness.address())
            writer.write(b"".join(b"GET /%d HTTP/1.1\r\nHost: example.com\r\n\r\n" % n for n in range(6)))
            for n in range(6):
                await reader.readuntil(b"\r\n\r\n")
                self.assertTrue((await reader.readexactly(len("a/0 GET /0"))).endswith(b"GET /%d" % n))
            writer.close()
            self.assertLessEqual(sum(server.connections for server in harness.servers.values()), 6)

    async def test_connections_to_servers_are_reused_after_the_reuse_delay(self) -> None:
        async with SiteHarness(site_of(TWO_SERVERS % "")) as harness:
            for n in range(6):
                await harness.send(b"GET /%d HTTP/1.1\r\nHost: example.com\r\n\r\n" % n)
                await asyncio.sleep(REUSE_DELAY_MS / 1000.0)
            self.assertLessEqual(sum(server.connections for server in harness.servers.values()), 2)


def test_passive_health_counts_failures_within_fail_timeout_and_recovers() -> None:
    def server(number: int, **settings: object) -> UpstreamServerRow:
        return UpstreamServerRow(address=f"s{number}", defined_at="-", **settings)  # type: ignore[arg-type]

    def ready(now_ms: float) -> list[str]:
        return [address for address, is_ready in health.ready_servers(now_ms).items() if is_ready]

    health = PassiveHealthCheck(
        [server(1, max_fails=2, fail_timeout_ms=1_000.0), server(2, max_fails=0), server(3, is_backup=True)]
    )
    assert ready(0.0) == ["s1", "s2"]
    health.record_result("s1", True, 0.0)
    health.record_result("s1", True, 1_500.0)  # not within fail_timeout of the first
    assert ready(1_500.0) == ["s1", "s2"]
    health.record_result("s1", True, 1_600.0)
    assert (ready(1_600.0), health.next_recovery_ms(1_600.0)) == (["s2"], 2_600.0)
    for _ in range(9):
        health.record_result("s2", True, 1_700.0)  # max_fails=0: never unavailable
    assert ready(1_700.0) == ["s2"]
    assert ready(2_600.0) == ["s1", "s2"]
    pair = PassiveHealthCheck([server(1), server(2, is_backup=True)])
    pair.record_result("s1", True, 0.0)
    assert [address for address, is_ready in pair.ready_servers(1.0).items() if is_ready] == ["s2"]
    assert (
        pair.availability_changes(1.0) == {"s1": False, "s2": True} and pair.availability_changes(2.0) == {}
    )
    single = PassiveHealthCheck([server(1)])
    single.record_result("s1", True, 0.0)
    assert single.ready_servers(1.0) == {"s1": True}


def test_an_unusable_front_configuration_is_a_config_error(tmp_path: Path) -> None:
    from gladewalk.config.platform import ConfigError
    from gladewalk.nginx.table import write_site

    (tmp_path / "site.toml").write_text(write_site(import_site(str(CORPUS / "26-listens-apart.conf"))))
    for front, message in (
        ({"site": "none.toml", "listen": {}}, "none.toml: No such file"),
        ({"site": "site.toml", "listen": {}}, "front.http.listen: names no address"),
        ({"site": "site.toml", "listen": {"x": "*:8081"}}, "front.http.listen: not an address"),
        ({"site": "site.toml", "listen": {"127.0.0.1:0": "*:1"}}, r"\*:1 is none of the table's: \*:8081"),
    ):
        with pytest.raises(ConfigError, match=message):
            load_routing(build_options(read_option_tables({"front": {"http": front}}), "t.toml", tmp_path))


class Reloads(unittest.IsolatedAsyncioTestCase):
    async def test_a_reload_applies_to_the_next_request_and_an_invalid_table_changes_nothing(
        self,
    ) -> None:
        from gladewalk.nginx.router import Router

        site = site_of("""upstream a { server 127.0.0.1:1; } upstream b { server 127.0.0.1:2; }
            server { location / { proxy_pass http://a; } location /b { proxy_pass http://b; } }""")
        is_released = asyncio.Event()

        async def respond_when_released(received: ReceivedRequest) -> None:
            await is_released.wait()
            await received.respond(200, b"old", X_Server=received.server.uid)

        async with SiteHarness(site, {"b/0": respond_when_released}) as harness:
            director = harness.director
            assert director is not None and director.web is not None and director.options is not None
            self.assertEqual((await harness.fetch("/x")).server, "a/0")
            task = asyncio.create_task(harness.fetch("/b"))
            await wait_until(lambda: len(harness.servers["b/0"].received) == 1)
            path = Path(harness._folder.name) / "site.toml"  # type: ignore[union-attr]
            unchanged, replaced = director.web.upstreams["a"], director.web.upstreams["b"]
            table = path.read_text()
            other = table.replace('pattern = "/b"', 'pattern = "/c"').replace('name = "b"', 'name = "b2"')
            path.write_text(other.replace('upstream = "b"', 'upstream = "b2"'))
            generation = director.web.prepare(director.options)
            assert isinstance(generation.router, Router)
            director.web.switch(generation)
            self.assertEqual((await harness.fetch("/b")).server, "a/0")
            self.assertIs(director.web.upstreams["a"], unchanged)
            is_released.set()
            # The request that was open at the reload is completed by the replaced upstream.
            self.assertEqual((await task).body, b"old")
            await wait_until(lambda: not replaced.open_requests and not replaced.upstreams.open_connections)  # type: ignore[union-attr]
            self.assertEqual((await harness.fetch("/c")).server, "b/0")
            path.write_text(table.replace("[[servers]]", "[[serverz]]"))
            with self.assertRaisesRegex(Exception, "serverz: no such setting"):
                director.web.prepare(director.options)
            self.assertEqual((await harness.fetch("/c")).server, "b/0")

"""The HTTP front for imported routing, end to end on loopback: the corpus, messages, health, reloads."""

import asyncio
import tempfile
import unittest
from pathlib import Path

import pytest

from gladewalk.config.options import build_options, read_option_tables
from gladewalk.nginx.table import Site, UpstreamServerRow
from gladewalk.nginx.translate import import_site
from gladewalk.optional_parts import load_router
from gladewalk.rehearsal.director_harness import wait_until
from gladewalk.rehearsal.scripted_servers import ReceivedRequest
from gladewalk.rehearsal.site_harness import SiteHarness, SiteResponse
from gladewalk.upstream.reuse_delay import REUSE_DELAY_MS
from gladewalk.web.passive_health import PassiveHealthCheck
from gladewalk.web.start import load_routing

from .test_nginx import CORPUS, FILES, expectations


def site_of(text: str) -> Site:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "f.conf"
        path.write_text(text)
        return import_site(str(path))


def describe_answer(answer: SiteResponse) -> str:
    """Returns an answer as the corpus writes landings."""
    if answer.server:
        _, _, target = answer.body.decode().split(" ", 2)
        return f"upstream {answer.server.rpartition('/')[0]} {target}"
    return f"answer {answer.status} {answer.headers.get('location') or answer.body.decode()}".rstrip()


@pytest.mark.parametrize("path", [p for p in FILES if list(expectations(p))], ids=lambda path: path.stem)
def test_the_corpus_lands_at_its_simulated_servers(path: Path) -> None:
    """Every expectation that a client on loopback can request: from its own address, with a body if any."""

    async def request_all() -> None:
        site = import_site(str(path))
        async with SiteHarness(site) as world:
            for each in expectations(path):
                asked = each.asked
                if asked.client_address != "127.0.0.1" or "content-length" in each.fields:
                    continue
                if asked.method == "HEAD":
                    continue
                if asked.host == "":
                    data = f"{asked.method} {asked.uri} HTTP/1.0\r\n".encode()
                    data += b"".join(f"{k}: {v}\r\n".encode() for k, v in each.fields.items()) + b"\r\n"
                    call = world.send(data, listen=asked.listen)
                else:
                    call = world.fetch(asked.uri, asked.host, asked.method, b"", asked.listen, **each.fields)
                if each.landing == "answer 444":
                    with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                        await call
                    continue
                assert describe_answer(await call) == each.landing, str(asked)

    asyncio.run(request_all())


TWO_SERVERS = """upstream a { server 127.0.0.1:1; server 127.0.0.1:2; }
server { listen 8080; server_name example.com; location / { proxy_pass http://a; %s } }"""


class LoadShares(unittest.IsolatedAsyncioTestCase):
    async def test_a_server_that_answers_faster_does_not_get_all_requests(self) -> None:
        """The core weighs caches by the duration of hits; a generated response has no such measure."""

        async def slow(received: ReceivedRequest) -> None:
            await asyncio.sleep(0.02)
            await received.respond(200, b"", X_Server=received.server.uid)

        directives = "proxy_cache_lock on; proxy_cache_valid 200 1m; proxy_cache_use_stale error;"
        async with SiteHarness(site_of(TWO_SERVERS % directives), {"a/0": slow}) as world:
            for number in range(60):
                self.assertEqual((await world.fetch(f"/{number}")).status, 200)
            shares = sorted(len(server.received) for server in world.servers.values())
            self.assertGreater(shares[0], 10)
            exchange = world.director.web.upstreams["a"]  # type: ignore[union-attr]
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
        seen: list[ReceivedRequest] = []

        async def answer(received: ReceivedRequest) -> None:
            seen.append(received)
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
        async with SiteHarness(site, {"a/0": answer}) as world:
            got = await world.fetch(
                "/x",
                method="PUT",
                body=b"body",
                Accept="a/b",
                Cookie="c=d",
                TE="trailers",
                X_Forwarded_For="10.0.0.9",
            )
            received = seen[-1]
            self.assertEqual((got.status, got.body, got.headers["set-cookie"]), (201, b"body", "a=1"))
            self.assertEqual((got.headers["x-from"], "server" in got.headers), ("example.com", False))
            wanted = {"host": "example.com", "x-real": "127.0.0.1", "x-forwarded-for": "10.0.0.9, 127.0.0.1",
                      "cookie": "c=d", "content-length": "4"}  # fmt: skip
            self.assertEqual(received.headers, wanted)
            got = await world.fetch("/p/y", method="POST", body=b"z")
            self.assertEqual((seen[-1].path, seen[-1].headers["host"]), ("/s/y", "a"))
            self.assertEqual(got.headers["location"], "http://example.com:8080/p/there")
            got = await world.fetch("/x", Range="bytes=0-3")
            self.assertEqual(
                (got.status, got.body, got.headers["content-range"]), (206, b"part", "bytes 0-3/9")
            )
            self.assertNotIn("x-hop", got.headers)
            got = await world.fetch("/x", If_None_Match='"e"')
            self.assertEqual((got.status, got.headers["etag"], got.body), (304, '"e"', b""))
            got = await world.fetch("/x", method="HEAD")
            self.assertEqual((got.status, got.headers["content-length"], got.body), (200, "7", b""))
            self.assertEqual((await world.fetch("/chunked")).body, b"abc")
            self.assertEqual((await world.fetch("/close")).body, b"to the end")
            self.assertEqual((await world.fetch("/x", method="POST", body=b"x" * 1_025)).status, 413)

    async def test_a_large_response_streams_at_the_clients_pace(self) -> None:
        sent = 0

        async def stream(received: ReceivedRequest) -> None:
            nonlocal sent
            received.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n")
            for _ in range(300):
                received.writer.write(bytes(100_000))
                await received.writer.drain()
                sent += 100_000

        async with SiteHarness(site_of(TWO_SERVERS % ""), {"a/0": stream, "a/1": stream}) as world:
            reader, writer = await asyncio.open_connection(*world.address())
            writer.write(b"GET /x HTTP/1.1\r\nHost: example.com\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            previous = -1
            while sent != previous:  # it stops long before all is sent: nobody reads
                previous = sent
                await asyncio.sleep(0.3)
            self.assertLess(sent, 25_000_000)
            self.assertEqual(len(await reader.readexactly(30_000_000)), 30_000_000)
            writer.close()

    async def test_noise_and_ambiguous_messages_get_a_4xx_and_reach_no_server(self) -> None:
        async with SiteHarness(site_of(TWO_SERVERS % "")) as world:
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
                self.assertEqual((await world.send(data)).status, status, data[:60])
            self.assertEqual(sum(len(server.received) for server in world.servers.values()), 0)
            answer = await world.send(b"GET http://example.com/abs?q HTTP/1.1\r\nHost: other\r\n\r\n")
            self.assertTrue(answer.body.endswith(b"GET /abs?q"), answer.body)

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        async with SiteHarness(site_of(TWO_SERVERS % "")) as world:
            reader, writer = await asyncio.open_connection(*world.address())
            writer.write(b"".join(b"GET /%d HTTP/1.1\r\nHost: example.com\r\n\r\n" % n for n in range(6)))
            for n in range(6):
                await reader.readuntil(b"\r\n\r\n")
                self.assertTrue((await reader.readexactly(len("a/0 GET /0"))).endswith(b"GET /%d" % n))
            writer.close()
            self.assertLessEqual(sum(server.connections for server in world.servers.values()), 6)

    async def test_connections_to_servers_are_used_again_once_they_have_rested(self) -> None:
        async with SiteHarness(site_of(TWO_SERVERS % "")) as world:
            for n in range(6):
                await world.send(b"GET /%d HTTP/1.1\r\nHost: example.com\r\n\r\n" % n)
                await asyncio.sleep(REUSE_DELAY_MS / 1000.0)
            self.assertLessEqual(sum(server.connections for server in world.servers.values()), 2)


def test_passive_health_counts_failures_within_their_time_and_recovers() -> None:
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
        health.record_result("s2", True, 1_700.0)  # max_fails=0: never
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


def test_a_front_that_cannot_be_configured_is_one_line(tmp_path: Path) -> None:
    from gladewalk.config.platform import ConfigError
    from gladewalk.nginx.table import write_site

    (tmp_path / "site.toml").write_text(write_site(import_site(str(CORPUS / "26-listens-apart.conf"))))
    for front, why in (
        ({"site": "none.toml", "listen": {}}, "none.toml: No such file"),
        ({"site": "site.toml", "listen": {}}, "front.http.listen: names no address"),
        ({"site": "site.toml", "listen": {"x": "*:8081"}}, "front.http.listen: not an address"),
        ({"site": "site.toml", "listen": {"127.0.0.1:0": "*:1"}}, r"\*:1 is none of the table's: \*:8081"),
    ):
        with pytest.raises(ConfigError, match=why):
            load_routing(build_options(read_option_tables({"front": {"http": front}}), "t.toml", tmp_path))


class Reloads(unittest.IsolatedAsyncioTestCase):
    async def test_a_reloaded_table_holds_from_the_next_request_on_and_a_bad_one_changes_nothing(
        self,
    ) -> None:
        from gladewalk.nginx.router import Router

        site = site_of("""upstream a { server 127.0.0.1:1; } upstream b { server 127.0.0.1:2; }
            server { location / { proxy_pass http://a; } location /b { proxy_pass http://b; } }""")
        gate = asyncio.Event()

        async def answer_at_gate(received: ReceivedRequest) -> None:
            await gate.wait()
            await received.respond(200, b"old", X_Server=received.server.uid)

        async with SiteHarness(site, {"b/0": answer_at_gate}) as world:
            director = world.director
            assert director is not None and director.web is not None and director.options is not None
            self.assertEqual((await world.fetch("/x")).server, "a/0")
            task = asyncio.create_task(world.fetch("/b"))
            await wait_until(lambda: len(world.servers["b/0"].received) == 1)
            path = Path(world._folder.name) / "site.toml"  # type: ignore[union-attr]
            unchanged, replaced = director.web.upstreams["a"], director.web.upstreams["b"]
            table = path.read_text()
            other = table.replace('pattern = "/b"', 'pattern = "/c"').replace('name = "b"', 'name = "b2"')
            path.write_text(other.replace('upstream = "b"', 'upstream = "b2"'))
            router = load_router(director.options)
            assert isinstance(router, Router)
            director.web.reload(director.options, router)
            self.assertEqual((await world.fetch("/b")).server, "a/0")
            self.assertIs(director.web.upstreams["a"], unchanged)
            gate.set()
            self.assertEqual((await task).body, b"old")  # what was open is answered
            await wait_until(lambda: not replaced.open_requests and not replaced.upstreams.open_connections)  # type: ignore[union-attr]
            self.assertEqual((await world.fetch("/c")).server, "b/0")
            path.write_text(table.replace("[[servers]]", "[[serverz]]"))
            with self.assertRaisesRegex(Exception, "serverz: no such setting"):
                load_router(director.options)
            self.assertEqual((await world.fetch("/c")).server, "b/0")

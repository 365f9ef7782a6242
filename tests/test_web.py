"""The front for imported routing, end to end: the corpus on loopback, failures, backups, bad manners."""

import asyncio
import tempfile
import unittest
from pathlib import Path

import pytest

from gladewalk.config.options import build_options, read_option_tables
from gladewalk.nginx.table import Site, UpstreamServerRow
from gladewalk.nginx.translate import import_site
from gladewalk.optional_parts import load_router
from gladewalk.rehearsal.peers import Heard, until
from gladewalk.rehearsal.webworld import Answer, WebWorld
from gladewalk.web.passive_health import PassiveHealthCheck
from gladewalk.web.start import load_routing

from .test_nginx import CORPUS, FILES, expectations


def site_of(text: str) -> Site:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "f.conf"
        path.write_text(text)
        return import_site(str(path))


def told(answer: Answer) -> str:
    """An answer as the corpus writes landings."""
    if answer.by:
        _, _, target = answer.body.decode().split(" ", 2)
        return f"upstream {answer.by.rpartition('/')[0]} {target}"
    return f"answer {answer.status} {answer.fields.get('location') or answer.body.decode()}".rstrip()


@pytest.mark.parametrize("path", [p for p in FILES if list(expectations(p))], ids=lambda path: path.stem)
def test_the_corpus_lands_at_its_stand_in_servers(path: Path) -> None:
    """Every expectation that a client on loopback can make: from its own address, with a body if any."""

    async def play() -> None:
        site = import_site(str(path))
        async with WebWorld(site) as world:
            for each in expectations(path):
                asked = each.asked
                if asked.client_address != "127.0.0.1" or "content-length" in each.fields:
                    continue
                if asked.method == "HEAD":
                    continue
                if asked.host == "":
                    data = f"{asked.method} {asked.uri} HTTP/1.0\r\n".encode()
                    data += b"".join(f"{k}: {v}\r\n".encode() for k, v in each.fields.items()) + b"\r\n"
                    call = world.say(data, listen=asked.listen)
                else:
                    call = world.ask(asked.uri, asked.host, asked.method, b"", asked.listen, **each.fields)
                if each.landing == "answer 444":
                    with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                        await call
                    continue
                assert told(await call) == each.landing, str(asked)

    asyncio.run(play())


TWO = """upstream a { server 127.0.0.1:1; server 127.0.0.1:2; }
server { listen 8080; server_name example.com; location / { proxy_pass http://a; %s } }"""


class Shares(unittest.IsolatedAsyncioTestCase):
    async def test_a_server_that_answers_faster_is_not_given_all(self) -> None:
        """The core weighs caches by the time that hits take; what servers make has no such measure."""

        async def slow(heard: Heard) -> None:
            await asyncio.sleep(0.02)
            await heard.answer(200, b"", X_Server=heard.peer.uid)

        words = "proxy_cache_lock on; proxy_cache_valid 200 1m; proxy_cache_use_stale error;"
        async with WebWorld(site_of(TWO % words), {"a/0": slow}) as world:
            for n in range(60):
                self.assertEqual((await world.ask(f"/{n}")).status, 200)
            shares = sorted(len(server.heard) for server in world.servers.values())
            self.assertGreater(shares[0], 10)
            balanced = world.director.web.upstreams["a"]  # type: ignore[union-attr]
            servers = balanced.dispatcher.state.registry.servers.values()
            self.assertEqual({server.weight for server in servers}, {1.0})
            told = balanced.dispatcher.state.settings
            self.assertEqual(
                (told.may_join_fills, told.classes[0].freshness_lifetime_ms, told.classes[0].stale_grace_ms),
                (True, 6e4, 6e4),
            )


class Messages(unittest.IsolatedAsyncioTestCase):
    async def test_fields_bodies_and_ranges_pass_as_http_asks(self) -> None:
        seen: list[Heard] = []

        async def answer(heard: Heard) -> None:
            seen.append(heard)
            if heard.path == "/chunked":
                heard.writer.write(
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
                )
            elif heard.path == "/close":
                heard.writer.write(b"HTTP/1.0 200 OK\r\n\r\nto the end")
                await heard.writer.drain()
                heard.writer.close()
            elif "range" in heard.headers:
                await heard.answer(206, b"part", Content_Range="bytes 0-3/9", Connection="X-Hop", X_Hop="1")
            elif "if-none-match" in heard.headers:
                heard.writer.write(b'HTTP/1.1 304 Not Modified\r\nETag: "e"\r\n\r\n')
            elif heard.method == "HEAD":
                heard.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n")
            else:
                await heard.answer(201, heard.body, Set_Cookie="a=1", Server="x", Location="http://a/s/there")

        site = site_of("""upstream a { server 127.0.0.1:1; }
            server { listen 8080; server_name example.com; client_max_body_size 1k;
              add_header X-From "$host" always;
              location / { proxy_pass http://a; proxy_set_header Host $host;
                proxy_set_header X-Real $remote_addr;
                proxy_set_header X-Forwarded-For $proxy_add_x_forwarded_for; proxy_set_header Accept ""; }
              location /p/ { proxy_pass http://a/s/; } }""")
        async with WebWorld(site, {"a/0": answer}) as world:
            got = await world.ask("/x", method="PUT", body=b"body", Accept="a/b", Cookie="c=d", TE="trailers",
                                  X_Forwarded_For="10.0.0.9")  # fmt: skip
            heard = seen[-1]
            self.assertEqual((got.status, got.body, got.fields["set-cookie"]), (201, b"body", "a=1"))
            self.assertEqual((got.fields["x-from"], "server" in got.fields), ("example.com", False))
            wanted = {"host": "example.com", "x-real": "127.0.0.1", "x-forwarded-for": "10.0.0.9, 127.0.0.1",
                      "cookie": "c=d", "content-length": "4"}  # fmt: skip
            self.assertEqual(heard.headers, wanted)
            got = await world.ask("/p/y", method="POST", body=b"z")
            self.assertEqual((seen[-1].path, seen[-1].headers["host"]), ("/s/y", "a"))
            self.assertEqual(got.fields["location"], "http://example.com:8080/p/there")
            got = await world.ask("/x", Range="bytes=0-3")
            self.assertEqual(
                (got.status, got.body, got.fields["content-range"]), (206, b"part", "bytes 0-3/9")
            )
            self.assertNotIn("x-hop", got.fields)
            got = await world.ask("/x", If_None_Match='"e"')
            self.assertEqual((got.status, got.fields["etag"], got.body), (304, '"e"', b""))
            got = await world.ask("/x", method="HEAD")
            self.assertEqual((got.status, got.fields["content-length"], got.body), (200, "7", b""))
            self.assertEqual((await world.ask("/chunked")).body, b"abc")
            self.assertEqual((await world.ask("/close")).body, b"to the end")
            self.assertEqual((await world.ask("/x", method="POST", body=b"x" * 1_025)).status, 413)

    async def test_a_large_answer_streams_at_the_clients_pace(self) -> None:
        sent = 0

        async def pour(heard: Heard) -> None:
            nonlocal sent
            heard.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n")
            for _ in range(300):
                heard.writer.write(bytes(100_000))
                await heard.writer.drain()
                sent += 100_000

        async with WebWorld(site_of(TWO % ""), {"a/0": pour, "a/1": pour}) as world:
            reader, writer = await asyncio.open_connection(*world.address())
            writer.write(b"GET /x HTTP/1.1\r\nHost: example.com\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            before = -1
            while sent != before:  # it stands still long before all is sent: nobody reads it
                before = sent
                await asyncio.sleep(0.3)
            self.assertLess(sent, 25_000_000)
            self.assertEqual(len(await reader.readexactly(30_000_000)), 30_000_000)
            writer.close()

    async def test_noise_and_doubtful_messages_get_a_4xx_and_reach_no_server(self) -> None:
        async with WebWorld(site_of(TWO % "")) as world:
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
                self.assertEqual((await world.say(data)).status, status, data[:60])
            self.assertEqual(sum(len(server.heard) for server in world.servers.values()), 0)
            answer = await world.say(b"GET http://example.com/abs?q HTTP/1.1\r\nHost: other\r\n\r\n")
            self.assertTrue(answer.body.endswith(b"GET /abs?q"), answer.body)

    async def test_requests_behind_one_another_on_a_connection_are_answered_in_order(self) -> None:
        async with WebWorld(site_of(TWO % "")) as world:
            reader, writer = await asyncio.open_connection(*world.address())
            writer.write(b"".join(b"GET /%d HTTP/1.1\r\nHost: example.com\r\n\r\n" % n for n in range(6)))
            for n in range(6):
                await reader.readuntil(b"\r\n\r\n")
                self.assertTrue((await reader.readexactly(len("a/0 GET /0"))).endswith(b"GET /%d" % n))
            writer.close()
            self.assertLessEqual(sum(server.connections for server in world.servers.values()), 2)


def test_passive_health_counts_failures_in_their_time_and_gives_back() -> None:
    def box(n: int, **more: object) -> UpstreamServerRow:
        return UpstreamServerRow(address=f"s{n}", defined_at="-", **more)  # type: ignore[arg-type]

    def ready(now: float) -> list[str]:
        return [address for address, on in health.ready_servers(now).items() if on]

    health = PassiveHealthCheck(
        [box(1, max_fails=2, fail_timeout_ms=1_000.0), box(2, max_fails=0), box(3, is_backup=True)]
    )
    assert ready(0.0) == ["s1", "s2"]
    health.record_result("s1", True, 0.0)
    health.record_result("s1", True, 1_500.0)  # not within its time of the first
    assert ready(1_500.0) == ["s1", "s2"]
    health.record_result("s1", True, 1_600.0)
    assert (ready(1_600.0), health.next_recovery_ms(1_600.0)) == (["s2"], 2_600.0)
    for _ in range(9):
        health.record_result("s2", True, 1_700.0)  # max_fails=0: never
    assert ready(1_700.0) == ["s2"]
    assert ready(2_600.0) == ["s1", "s2"]
    both = PassiveHealthCheck([box(1), box(2, is_backup=True)])
    both.record_result("s1", True, 0.0)
    assert [a for a, on in both.ready_servers(1.0).items() if on] == ["s2"]
    assert (
        both.availability_changes(1.0) == {"s1": False, "s2": True} and both.availability_changes(2.0) == {}
    )
    alone = PassiveHealthCheck([box(1)])
    alone.record_result("s1", True, 0.0)
    assert alone.ready_servers(1.0) == {"s1": True}


def test_a_front_that_cannot_be_is_one_line(tmp_path: Path) -> None:
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
    async def test_another_table_holds_from_the_next_request_on_and_a_bad_one_changes_nothing(self) -> None:
        from gladewalk.nginx.router import Router

        site = site_of("""upstream a { server 127.0.0.1:1; } upstream b { server 127.0.0.1:2; }
            server { location / { proxy_pass http://a; } location /b { proxy_pass http://b; } }""")
        gate = asyncio.Event()

        async def wait(heard: Heard) -> None:
            await gate.wait()
            await heard.answer(200, b"old", X_Server=heard.peer.uid)

        async with WebWorld(site, {"b/0": wait}) as world:
            director = world.director
            assert director is not None and director.web is not None and director.options is not None
            self.assertEqual((await world.ask("/x")).by, "a/0")
            task = asyncio.create_task(world.ask("/b"))
            await until(lambda: len(world.servers["b/0"].heard) == 1)
            path = Path(world._folder.name) / "site.toml"  # type: ignore[union-attr]
            kept, old = director.web.upstreams["a"], director.web.upstreams["b"]
            table = path.read_text()
            other = table.replace('pattern = "/b"', 'pattern = "/c"').replace('name = "b"', 'name = "b2"')
            path.write_text(other.replace('upstream = "b"', 'upstream = "b2"'))
            router = load_router(director.options)
            assert isinstance(router, Router)
            director.web.reload(director.options, router)
            self.assertEqual((await world.ask("/b")).by, "a/0")
            self.assertIs(director.web.upstreams["a"], kept)
            gate.set()
            self.assertEqual((await task).body, b"old")  # what was open is answered
            await until(lambda: not old.open_requests and not old.upstreams.open_connections)  # type: ignore[union-attr]
            self.assertEqual((await world.ask("/c")).by, "b/0")
            path.write_text(table.replace("[[servers]]", "[[serverz]]"))
            with self.assertRaisesRegex(Exception, "serverz: no such setting"):
                load_router(director.options)
            self.assertEqual((await world.ask("/c")).by, "b/0")

"""The HTTP front for imported routing when servers fail: retries, backups, error pages, final answers."""

import asyncio
import unittest

from gladewalk.rehearsal.peers import Heard, until
from gladewalk.rehearsal.webworld import WebWorld

from .test_web import TWO_SERVERS, site_of


class Failures(unittest.IsolatedAsyncioTestCase):
    def answer_with(self, status: int, body: bytes = b"", **fields: str):  # type: ignore[no-untyped-def]
        async def script(heard: Heard) -> None:
            await heard.answer(status, body, X_Server=heard.peer.uid, **fields)

        return script

    async def abort(self, heard: Heard) -> None:
        heard.writer.transport.abort()

    async def hang(self, heard: Heard) -> None:
        await asyncio.sleep(30.0)

    async def test_a_failure_is_retried_elsewhere_once_and_each_request_gets_one_answer(self) -> None:
        async with WebWorld(site_of(TWO_SERVERS % ""), {"a/0": self.abort}) as world:
            answers = [await world.ask(f"/{n}") for n in range(24)]
            self.assertEqual({(answer.status, answer.by) for answer in answers}, {(200, "a/1")})
            self.assertGreater(len(world.servers["a/0"].heard), 0)

    async def test_what_may_have_been_executed_is_not_retried_and_what_was_never_sent_is(self) -> None:
        async with WebWorld(site_of(TWO_SERVERS % "")) as world:
            world.servers["a/0"].script = self.abort
            statuses = [(await world.ask(f"/{n}", method="POST", body=b"bid")).status for n in range(12)]
            executed = len(world.servers["a/0"].heard)
            self.assertEqual(statuses.count(502), executed)
            self.assertGreater(executed, 0)
            self.assertEqual(len(world.servers["a/1"].heard), 12 - executed)
            world.servers["a/0"].stop()
            for connection in list(world.director.web.upstreams["a"].upstreams.open_connections):  # type: ignore
                connection.close()
            statuses = [(await world.ask(f"/x{n}", method="POST", body=b"bid")).status for n in range(12)]
            self.assertEqual(set(statuses), {200})

    async def test_next_upstream_off_and_a_list_without_the_condition_end_it_at_once(self) -> None:
        for directive, status in (("proxy_next_upstream off;", 502), ("proxy_next_upstream http_500;", 502)):
            async with WebWorld(
                site_of(TWO_SERVERS % directive), {"a/0": self.abort, "a/1": self.abort}
            ) as world:
                self.assertEqual((await world.ask("/x")).status, status)
                self.assertEqual(sum(len(server.heard) for server in world.servers.values()), 1)

    async def test_a_status_is_retried_elsewhere_only_where_the_file_says(self) -> None:
        busy = self.answer_with(503, b"busy")
        async with WebWorld(site_of(TWO_SERVERS % ""), {"a/0": busy, "a/1": busy}) as world:
            answer = await world.ask("/x")
            self.assertEqual((answer.status, answer.body), (503, b"busy"))
        async with WebWorld(site_of(TWO_SERVERS % "proxy_next_upstream http_503;"), {"a/0": busy}) as world:
            answers = {(await world.ask(f"/{n}")).by for n in range(12)}
            self.assertEqual(answers, {"a/1"})
        both = {"a/0": busy, "a/1": busy}
        async with WebWorld(site_of(TWO_SERVERS % "proxy_next_upstream http_503;"), both) as world:
            self.assertEqual((await world.ask("/x")).status, 503)  # the last answer, when all were attempted

    async def test_a_silent_server_runs_into_the_locations_read_timeout(self) -> None:
        directives = "proxy_read_timeout 150ms; proxy_next_upstream off;"
        async with WebWorld(site_of(TWO_SERVERS % directives), {"a/0": self.hang, "a/1": self.hang}) as world:
            self.assertEqual((await world.ask("/x")).status, 504)

    async def test_a_truncated_response_is_truncated_for_the_client_too(self) -> None:
        async def half(heard: Heard) -> None:
            heard.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
            await heard.writer.drain()
            heard.writer.transport.abort()

        async with WebWorld(site_of(TWO_SERVERS % ""), {"a/0": half, "a/1": half}) as world:
            with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
                await world.ask("/x")

    async def test_a_backup_takes_over_until_a_primary_recovers(self) -> None:
        site = site_of("""upstream a { server 127.0.0.1:1 max_fails=1 fail_timeout=2s;
            server 127.0.0.1:2 max_fails=1 fail_timeout=2s; server 127.0.0.1:3 backup;
            server 127.0.0.1:4 down; }
            server { location / { proxy_pass http://a; } }""")
        async with WebWorld(site) as world:
            first = {(await world.ask(f"/{n}")).by for n in range(16)}
            self.assertEqual(first, {"a/0", "a/1"})
            world.servers["a/0"].script = world.servers["a/1"].script = self.abort
            answers = [await world.ask(f"/b{n}") for n in range(8)]
            self.assertEqual({answer.by for answer in answers}, {"a/2"})
            for number in (0, 1):
                world.servers[f"a/{number}"].script = world.servers["a/2"].script

            async def answering_servers() -> set[str]:
                return {(await world.ask(f"/c{n}")).by for n in range(8)}

            for _ in range(200):
                if await answering_servers() == {"a/0", "a/1"}:
                    break
                await asyncio.sleep(0.05)
            self.assertEqual(await answering_servers(), {"a/0", "a/1"})
            self.assertEqual(len(world.servers["a/3"].heard), 0)

    async def test_all_down_is_rejected_at_once_with_retry_after(self) -> None:
        site = site_of("upstream a { server 127.0.0.1:1 down; server 127.0.0.1:2 down; }\n"
                       "server { location / { proxy_pass http://a; } }")  # fmt: skip
        async with WebWorld(site) as world:
            answer = await world.ask("/x")
            self.assertEqual((answer.status, answer.fields["retry-after"]), (503, "1"))
            self.assertEqual(sum(len(server.heard) for server in world.servers.values()), 0)

    async def test_max_conns_sends_the_rest_elsewhere(self) -> None:
        gate = asyncio.Event()

        async def answer_at_gate(heard: Heard) -> None:
            await gate.wait()
            await heard.answer(200, b"", X_Server=heard.peer.uid)

        site = site_of("upstream a { server 127.0.0.1:1 max_conns=2; server 127.0.0.1:2; }\n"
                       "server { location / { proxy_pass http://a; } }")  # fmt: skip
        async with WebWorld(site, {"a/0": answer_at_gate, "a/1": answer_at_gate}) as world:
            tasks = [asyncio.create_task(world.ask(f"/{n}")) for n in range(16)]
            await until(lambda: sum(len(server.heard) for server in world.servers.values()) == 16)
            self.assertEqual(len(world.servers["a/0"].heard), 2)
            gate.set()
            self.assertEqual({(await task).status for task in tasks}, {200})

    async def test_fields_are_added_by_the_place_where_a_request_lands(self) -> None:
        site = site_of("""server { server_name old.net; add_header X-Where server always;
              return 301 http://a.net/; }
            server { server_name b; add_header X-Where outer; location /in { return 200 x; }
              location /own { add_header X-Where own; return 200 x; } location /no { return 404; } }""")
        async with WebWorld(site) as world:
            for uri, host, where in (("/", "old.net", "server"), ("/in", "b", "outer"), ("/own", "b", "own")):
                self.assertEqual((await world.ask(uri, host)).fields["x-where"], where)
            self.assertNotIn("x-where", (await world.ask("/no", "b")).fields)  # not on a 404 without always

    async def test_an_error_page_routes_a_failure_elsewhere(self) -> None:
        site = site_of("""upstream a { server 127.0.0.1:1; } upstream b { server 127.0.0.1:2; }
            server { server_name example.com;
              location / { proxy_pass http://a; error_page 502 504 = @over; }
              location @over { proxy_pass http://b; }
              location /kept { proxy_pass http://a; error_page 502 /sorry; }
              location /sorry { internal; proxy_pass http://b; } }""")
        async with WebWorld(site, {"a/0": self.abort}) as world:
            answer = await world.ask("/x?y=1")
            self.assertEqual((answer.status, answer.body), (200, b"b/0 GET /x?y=1"))
            answer = await world.ask("/kept")
            self.assertEqual((answer.status, answer.body), (502, b"b/0 GET /sorry"))

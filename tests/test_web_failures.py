"""The HTTP front for imported routing when servers fail: retries, backups, error pages, final answers."""

import asyncio
import unittest

from gladewalk.rehearsal.director_harness import wait_until
from gladewalk.rehearsal.scripted_servers import ReceivedRequest
from gladewalk.rehearsal.site_harness import SiteHarness

from .test_web import TWO_SERVERS, site_of


class Failures(unittest.IsolatedAsyncioTestCase):
    def answer_with(self, status: int, body: bytes = b"", **fields: str):  # type: ignore[no-untyped-def]
        async def script(received: ReceivedRequest) -> None:
            await received.respond(status, body, X_Server=received.server.uid, **fields)

        return script

    async def abort(self, received: ReceivedRequest) -> None:
        received.writer.transport.abort()

    async def hang(self, received: ReceivedRequest) -> None:
        await asyncio.sleep(30.0)

    async def test_a_failure_is_retried_elsewhere_once_and_each_request_gets_one_answer(self) -> None:
        async with SiteHarness(site_of(TWO_SERVERS % ""), {"a/0": self.abort}) as world:
            answers = [await world.fetch(f"/{n}") for n in range(24)]
            self.assertEqual({(answer.status, answer.server) for answer in answers}, {(200, "a/1")})
            self.assertGreater(len(world.servers["a/0"].received), 0)

    async def test_what_may_have_been_executed_is_not_retried_and_what_was_never_sent_is(self) -> None:
        async with SiteHarness(site_of(TWO_SERVERS % "")) as world:
            world.servers["a/0"].script = self.abort
            statuses = [(await world.fetch(f"/{n}", method="POST", body=b"bid")).status for n in range(12)]
            executed = len(world.servers["a/0"].received)
            self.assertEqual(statuses.count(502), executed)
            self.assertGreater(executed, 0)
            self.assertEqual(len(world.servers["a/1"].received), 12 - executed)
            world.servers["a/0"].stop()
            for connection in list(world.director.web.upstreams["a"].upstreams.open_connections):  # type: ignore
                connection.close()
            statuses = [(await world.fetch(f"/x{n}", method="POST", body=b"bid")).status for n in range(12)]
            self.assertEqual(set(statuses), {200})

    async def test_next_upstream_off_and_a_list_without_the_condition_end_it_at_once(self) -> None:
        for directive, status in (("proxy_next_upstream off;", 502), ("proxy_next_upstream http_500;", 502)):
            async with SiteHarness(
                site_of(TWO_SERVERS % directive), {"a/0": self.abort, "a/1": self.abort}
            ) as world:
                self.assertEqual((await world.fetch("/x")).status, status)
                self.assertEqual(sum(len(server.received) for server in world.servers.values()), 1)

    async def test_a_status_is_retried_elsewhere_only_where_the_file_says(self) -> None:
        busy = self.answer_with(503, b"busy")
        async with SiteHarness(site_of(TWO_SERVERS % ""), {"a/0": busy, "a/1": busy}) as world:
            answer = await world.fetch("/x")
            self.assertEqual((answer.status, answer.body), (503, b"busy"))
        async with SiteHarness(
            site_of(TWO_SERVERS % "proxy_next_upstream http_503;"), {"a/0": busy}
        ) as world:
            answers = {(await world.fetch(f"/{n}")).server for n in range(12)}
            self.assertEqual(answers, {"a/1"})
        both = {"a/0": busy, "a/1": busy}
        async with SiteHarness(site_of(TWO_SERVERS % "proxy_next_upstream http_503;"), both) as world:
            self.assertEqual(
                (await world.fetch("/x")).status, 503
            )  # the last answer, when all were attempted

    async def test_a_silent_server_runs_into_the_locations_read_timeout(self) -> None:
        directives = "proxy_read_timeout 150ms; proxy_next_upstream off;"
        async with SiteHarness(
            site_of(TWO_SERVERS % directives), {"a/0": self.hang, "a/1": self.hang}
        ) as world:
            self.assertEqual((await world.fetch("/x")).status, 504)

    async def test_a_truncated_response_reaches_no_client(self) -> None:
        async def half(received: ReceivedRequest) -> None:
            received.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
            await received.writer.drain()
            received.writer.transport.abort()

        async with SiteHarness(site_of(TWO_SERVERS % ""), {"a/0": half, "a/1": half}) as world:
            answer = await world.fetch("/x")
            self.assertEqual((answer.status, answer.body), (502, b""))
            received = [len(world.servers[name].received) for name in ("a/0", "a/1")]
            self.assertEqual(received, [1, 1])  # `proxy_next_upstream error` is the default

    async def test_a_truncated_response_that_is_too_large_to_hold_is_cut_for_the_client(self) -> None:
        async def half(received: ReceivedRequest) -> None:
            received.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\nhalf")
            await received.writer.drain()
            received.writer.transport.abort()

        async with SiteHarness(site_of(TWO_SERVERS % ""), {"a/0": half, "a/1": half}) as world:
            with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
                await world.fetch("/x")

    async def test_a_backup_takes_over_until_a_primary_recovers(self) -> None:
        site = site_of("""upstream a { server 127.0.0.1:1 max_fails=1 fail_timeout=2s;
            server 127.0.0.1:2 max_fails=1 fail_timeout=2s; server 127.0.0.1:3 backup;
            server 127.0.0.1:4 down; }
            server { location / { proxy_pass http://a; } }""")
        async with SiteHarness(site) as world:
            first = {(await world.fetch(f"/{n}")).server for n in range(16)}
            self.assertEqual(first, {"a/0", "a/1"})
            world.servers["a/0"].script = world.servers["a/1"].script = self.abort
            answers = [await world.fetch(f"/b{n}") for n in range(8)]
            self.assertEqual({answer.server for answer in answers}, {"a/2"})
            for number in (0, 1):
                world.servers[f"a/{number}"].script = world.servers["a/2"].script

            async def answering_servers() -> set[str]:
                return {(await world.fetch(f"/c{n}")).server for n in range(8)}

            for _ in range(200):
                if await answering_servers() == {"a/0", "a/1"}:
                    break
                await asyncio.sleep(0.05)
            self.assertEqual(await answering_servers(), {"a/0", "a/1"})
            self.assertEqual(len(world.servers["a/3"].received), 0)

    async def test_all_down_is_rejected_at_once_with_retry_after(self) -> None:
        site = site_of("upstream a { server 127.0.0.1:1 down; server 127.0.0.1:2 down; }\n"
                       "server { location / { proxy_pass http://a; } }")  # fmt: skip
        async with SiteHarness(site) as world:
            answer = await world.fetch("/x")
            self.assertEqual((answer.status, answer.headers["retry-after"]), (503, "1"))
            self.assertEqual(sum(len(server.received) for server in world.servers.values()), 0)

    async def test_max_conns_sends_the_rest_elsewhere(self) -> None:
        gate = asyncio.Event()

        async def answer_at_gate(received: ReceivedRequest) -> None:
            await gate.wait()
            await received.respond(200, b"", X_Server=received.server.uid)

        site = site_of("upstream a { server 127.0.0.1:1 max_conns=2; server 127.0.0.1:2; }\n"
                       "server { location / { proxy_pass http://a; } }")  # fmt: skip
        async with SiteHarness(site, {"a/0": answer_at_gate, "a/1": answer_at_gate}) as world:
            tasks = [asyncio.create_task(world.fetch(f"/{n}")) for n in range(16)]
            await wait_until(lambda: sum(len(server.received) for server in world.servers.values()) == 16)
            self.assertEqual(len(world.servers["a/0"].received), 2)
            gate.set()
            self.assertEqual({(await task).status for task in tasks}, {200})

    async def test_fields_are_added_by_the_place_where_a_request_lands(self) -> None:
        site = site_of("""server { server_name old.net; add_header X-Where server always;
              return 301 http://a.net/; }
            server { server_name b; add_header X-Where outer; location /in { return 200 x; }
              location /own { add_header X-Where own; return 200 x; } location /no { return 404; } }""")
        async with SiteHarness(site) as world:
            for uri, host, where in (("/", "old.net", "server"), ("/in", "b", "outer"), ("/own", "b", "own")):
                self.assertEqual((await world.fetch(uri, host)).headers["x-where"], where)
            self.assertNotIn(
                "x-where", (await world.fetch("/no", "b")).headers
            )  # not on a 404 without always

    async def test_an_error_page_routes_a_failure_elsewhere(self) -> None:
        site = site_of("""upstream a { server 127.0.0.1:1; } upstream b { server 127.0.0.1:2; }
            server { server_name example.com;
              location / { proxy_pass http://a; error_page 502 504 = @over; }
              location @over { proxy_pass http://b; }
              location /kept { proxy_pass http://a; error_page 502 /sorry; }
              location /sorry { internal; proxy_pass http://b; } }""")
        async with SiteHarness(site, {"a/0": self.abort}) as world:
            answer = await world.fetch("/x?y=1")
            self.assertEqual((answer.status, answer.body), (200, b"b/0 GET /x?y=1"))
            answer = await world.fetch("/kept")
            self.assertEqual((answer.status, answer.body), (502, b"b/0 GET /sorry"))

"""Tests of the HTTP front for imported nginx sites when servers fail: retries, backups, error pages."""

import asyncio
import unittest

from gladewalk.rehearsal.director_harness import wait_until
from gladewalk.rehearsal.scripted_servers import ReceivedRequest
from gladewalk.rehearsal.site_harness import SiteHarness

from .test_web import TWO_SERVERS, site_of


class Failures(unittest.IsolatedAsyncioTestCase):
    def respond_with(self, status: int, body: bytes = b"", **fields: str):  # type: ignore[no-untyped-def]
        async def script(received: ReceivedRequest) -> None:
            await received.respond(status, body, X_Server=received.server.uid, **fields)

        return script

    async def abort(self, received: ReceivedRequest) -> None:
        received.writer.transport.abort()

    async def hang(self, received: ReceivedRequest) -> None:
        await asyncio.sleep(30.0)

    async def test_a_failure_is_retried_once_at_the_other_server_and_each_request_gets_one_response(
        self,
    ) -> None:
        async with SiteHarness(site_of(TWO_SERVERS % ""), {"a/0": self.abort}) as harness:
            responses = [await harness.fetch(f"/{n}") for n in range(24)]
            self.assertEqual({(response.status, response.server) for response in responses}, {(200, "a/1")})
            self.assertGreater(len(harness.servers["a/0"].received), 0)

    async def test_possibly_executed_requests_are_not_retried_and_unsent_ones_are(self) -> None:
        async with SiteHarness(site_of(TWO_SERVERS % "")) as harness:
            harness.servers["a/0"].script = self.abort
            statuses = [(await harness.fetch(f"/{n}", method="POST", body=b"bid")).status for n in range(12)]
            executed = len(harness.servers["a/0"].received)
            self.assertEqual(statuses.count(502), executed)
            self.assertGreater(executed, 0)
            self.assertEqual(len(harness.servers["a/1"].received), 12 - executed)
            harness.servers["a/0"].stop()
            for connection in list(harness.director.web.upstreams["a"].upstreams.open_connections):  # type: ignore
                connection.close()
            statuses = [(await harness.fetch(f"/x{n}", method="POST", body=b"bid")).status for n in range(12)]
            self.assertEqual(set(statuses), {200})

    async def test_a_failure_that_proxy_next_upstream_does_not_list_ends_the_request_at_once(self) -> None:
        for directive, status in (("proxy_next_upstream off;", 502), ("proxy_next_upstream http_500;", 502)):
            async with SiteHarness(
                site_of(TWO_SERVERS % directive), {"a/0": self.abort, "a/1": self.abort}
            ) as harness:
                self.assertEqual((await harness.fetch("/x")).status, status)
                self.assertEqual(sum(len(server.received) for server in harness.servers.values()), 1)

    async def test_a_status_is_retried_only_if_proxy_next_upstream_lists_it(self) -> None:
        busy = self.respond_with(503, b"busy")
        async with SiteHarness(site_of(TWO_SERVERS % ""), {"a/0": busy, "a/1": busy}) as harness:
            response = await harness.fetch("/x")
            self.assertEqual((response.status, response.body), (503, b"busy"))
        async with SiteHarness(
            site_of(TWO_SERVERS % "proxy_next_upstream http_503;"), {"a/0": busy}
        ) as harness:
            server_names = {(await harness.fetch(f"/{n}")).server for n in range(12)}
            self.assertEqual(server_names, {"a/1"})
        both = {"a/0": busy, "a/1": busy}
        async with SiteHarness(site_of(TWO_SERVERS % "proxy_next_upstream http_503;"), both) as harness:
            # The last response is forwarded when all servers have been attempted.
            self.assertEqual((await harness.fetch("/x")).status, 503)

    async def test_an_unresponsive_server_ends_in_the_locations_read_timeout(self) -> None:
        directives = "proxy_read_timeout 150ms; proxy_next_upstream off;"
        async with SiteHarness(
            site_of(TWO_SERVERS % directives), {"a/0": self.hang, "a/1": self.hang}
        ) as harness:
            self.assertEqual((await harness.fetch("/x")).status, 504)

    async def test_a_truncated_response_reaches_no_client(self) -> None:
        async def reset_mid_body(received: ReceivedRequest) -> None:
            received.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
            await received.writer.drain()
            received.writer.transport.abort()

        async with SiteHarness(
            site_of(TWO_SERVERS % ""), {"a/0": reset_mid_body, "a/1": reset_mid_body}
        ) as harness:
            response = await harness.fetch("/x")
            self.assertEqual((response.status, response.body), (502, b""))
            received = [len(harness.servers[name].received) for name in ("a/0", "a/1")]
            self.assertEqual(received, [1, 1])  # `proxy_next_upstream error` is the default

    async def test_a_truncated_response_that_is_too_large_to_buffer_breaks_off_for_the_client(self) -> None:
        async def reset_mid_body(received: ReceivedRequest) -> None:
            received.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\nhalf")
            await received.writer.drain()
            received.writer.transport.abort()

        async with SiteHarness(
            site_of(TWO_SERVERS % ""), {"a/0": reset_mid_body, "a/1": reset_mid_body}
        ) as harness:
            with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
                await harness.fetch("/x")

    async def test_a_backup_takes_over_until_a_primary_recovers(self) -> None:
        site = site_of("""upstream a { server 127.0.0.1:1 max_fails=1 fail_timeout=2s;
            server 127.0.0.1:2 max_fails=1 fail_timeout=2s; server 127.0.0.1:3 backup;
            server 127.0.0.1:4 down; }
            server { location / { proxy_pass http://a; } }""")
        async with SiteHarness(site) as harness:
            primaries = {(await harness.fetch(f"/{n}")).server for n in range(16)}
            self.assertEqual(primaries, {"a/0", "a/1"})
            harness.servers["a/0"].script = harness.servers["a/1"].script = self.abort
            responses = [await harness.fetch(f"/b{n}") for n in range(8)]
            self.assertEqual({response.server for response in responses}, {"a/2"})
            for number in (0, 1):
                harness.servers[f"a/{number}"].script = harness.servers["a/2"].script

            async def responding_servers() -> set[str]:
                return {(await harness.fetch(f"/c{n}")).server for n in range(8)}

            for _ in range(200):
                if await responding_servers() == {"a/0", "a/1"}:
                    break
                await asyncio.sleep(0.05)
            self.assertEqual(await responding_servers(), {"a/0", "a/1"})
            self.assertEqual(len(harness.servers["a/3"].received), 0)

    async def test_a_request_is_rejected_at_once_with_retry_after_when_all_servers_are_down(self) -> None:
        site = site_of("upstream a { server 127.0.0.1:1 down; server 127.0.0.1:2 down; }\n"
                       "server { location / { proxy_pass http://a; } }")  # fmt: skip
        async with SiteHarness(site) as harness:
            response = await harness.fetch("/x")
            self.assertEqual((response.status, response.headers["retry-after"]), (503, "1"))
            self.assertEqual(sum(len(server.received) for server in harness.servers.values()), 0)

    async def test_requests_beyond_max_conns_are_sent_to_another_server(self) -> None:
        is_released = asyncio.Event()

        async def respond_when_released(received: ReceivedRequest) -> None:
            await is_released.wait()
            await received.respond(200, b"", X_Server=received.server.uid)

        site = site_of("upstream a { server 127.0.0.1:1 max_conns=2; server 127.0.0.1:2; }\n"
                       "server { location / { proxy_pass http://a; } }")  # fmt: skip
        async with SiteHarness(site, {"a/0": respond_when_released, "a/1": respond_when_released}) as harness:
            tasks = [asyncio.create_task(harness.fetch(f"/{n}")) for n in range(16)]
            await wait_until(lambda: sum(len(server.received) for server in harness.servers.values()) == 16)
            self.assertEqual(len(harness.servers["a/0"].received), 2)
            is_released.set()
            self.assertEqual({(await task).status for task in tasks}, {200})

    async def test_fields_are_added_by_the_location_or_server_that_a_request_is_routed_to(self) -> None:
        site = site_of("""server { server_name old.net; add_header X-Where server always;
              return 301 http://a.net/; }
            server { server_name b; add_header X-Where outer; location /in { return 200 x; }
              location /own { add_header X-Where own; return 200 x; } location /no { return 404; } }""")
        async with SiteHarness(site) as harness:
            for uri, host, where in (("/", "old.net", "server"), ("/in", "b", "outer"), ("/own", "b", "own")):
                self.assertEqual((await harness.fetch(uri, host)).headers["x-where"], where)
            # Without `always`, `add_header` does not apply to a 404.
            self.assertNotIn("x-where", (await harness.fetch("/no", "b")).headers)

    async def test_an_error_page_routes_a_failed_request_to_another_location(self) -> None:
        site = site_of("""upstream a { server 127.0.0.1:1; } upstream b { server 127.0.0.1:2; }
            server { server_name example.com;
              location / { proxy_pass http://a; error_page 502 504 = @over; }
              location @over { proxy_pass http://b; }
              location /kept { proxy_pass http://a; error_page 502 /sorry; }
              location /sorry { internal; proxy_pass http://b; } }""")
        async with SiteHarness(site, {"a/0": self.abort}) as harness:
            response = await harness.fetch("/x?y=1")
            self.assertEqual((response.status, response.body), (200, b"b/0 GET /x?y=1"))
            response = await harness.fetch("/kept")
            self.assertEqual((response.status, response.body), (502, b"b/0 GET /sorry"))

"""Timeouts derived from settings: for receiving a request, and for final answers during a shutdown."""

import asyncio
import unittest

from gladewalk.core.readiness import MAX_SIGKILL_DELAY_MS, SHUTDOWN_ACCEPT_MS, shutdown_deadline_ms
from gladewalk.net.clients import FIRST_BYTE_TIMEOUT_MS
from gladewalk.rehearsal.director_harness import SETTINGS, wait_until
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

from .server_scripts import BYTES, hit, hit_after, running

LONGEST_MS = max(cls["give_up_ms"] for cls in SETTINGS["classes"])
REQUEST = encode_request("/invoke/lot-video/a1", wait_ms=LONGEST_MS)


class RequestReceiveTimeout(unittest.IsolatedAsyncioTestCase):
    async def send_slowly(self, idle_ms: float, receive_ms: float) -> tuple[str, bytes]:
        """Sends a request that begins `idle_ms` after its connection and takes `receive_ms`.

        Returns the status and body of the response.
        """
        async with running(ScriptedServer(hit)) as (harness, director):
            # Fixed times replace the clock below, so that the speed of the machine doesn't matter.
            front, began_ms = director.front, director.front.clock()
            reader, writer = await harness.connect()
            await wait_until(lambda: len(front.awaiting) == 1)
            front.clock = lambda: began_ms + idle_ms
            writer.write(REQUEST[:-9])
            await wait_until(lambda: any(connection.has_partial_request for connection in front.awaiting))
            front.clock = lambda: began_ms + idle_ms + receive_ms
            front.sweep()  # the director calls it when the deadline has passed
            writer.write(REQUEST[-9:])
            first, _, body = await read_message(reader)
            writer.close()
            return first.split(" ")[1], body

    async def test_a_request_may_take_up_to_the_longest_deadline_of_the_settings_to_be_received(self) -> None:
        assert LONGEST_MS > FIRST_BYTE_TIMEOUT_MS
        assert await self.send_slowly(0.0, LONGEST_MS - 100.0) == ("200", BYTES)

    async def test_the_timeout_begins_with_the_first_byte_and_not_with_the_connection(self) -> None:
        assert await self.send_slowly(FIRST_BYTE_TIMEOUT_MS - 100.0, LONGEST_MS - 100.0) == ("200", BYTES)

    async def test_a_request_that_takes_longer_gets_a_408(self) -> None:
        assert (await self.send_slowly(0.0, LONGEST_MS + 1.0))[0] == "408"

    async def test_the_timeout_follows_the_settings(self) -> None:
        async with running(ScriptedServer(hit)) as (_, director):
            assert director.front.request_timeout_ms == LONGEST_MS


class ShutdownDeadline(unittest.IsolatedAsyncioTestCase):
    async def test_requests_with_a_deadline_after_the_sigkill_get_a_final_answer_before_it(self) -> None:
        release = asyncio.Event()
        cache = ScriptedServer(hit_after(release))
        async with running(cache) as (harness, director):
            reader, writer = await harness.connect()
            writer.write(REQUEST)
            await wait_until(lambda: len(cache.received) == 1)
            director.stop()
            kill_ms = director.clock() + SHUTDOWN_ACCEPT_MS + MAX_SIGKILL_DELAY_MS
            (open_request,) = director.exchange.open_requests.values()
            assert LONGEST_MS > MAX_SIGKILL_DELAY_MS
            assert open_request.deadline_ms < kill_ms
            second_client = await harness.connect()  # its request is received just before the listener closes
            second_client[1].write(
                encode_request("/invoke/lot-video/a2", trace="00000000000000a2", wait_ms=LONGEST_MS)
            )
            await wait_until(lambda: len(director.exchange.open_requests) == 2)
            assert all(opened.deadline_ms < kill_ms for opened in director.exchange.open_requests.values())
            director._stop_accepting()
            director.exchange.answer_all_by(director.clock())  # as at the deadline
            for client_reader in (reader, second_client[0]):
                first, fields, _ = await read_message(client_reader)
                assert (first.split(" ")[1], fields["connection"]) == ("502", "close")
            exchange = director.exchange
            assert (exchange.unanswered_count, exchange.dispatcher.state.pending) == (0, {})
            writer.close()
            second_client[1].close()
            await director._ended
            release.set()

    def test_a_shutdown_leaves_short_requests_their_whole_time(self) -> None:
        assert shutdown_deadline_ms(0.0, 1_500.0) < SHUTDOWN_ACCEPT_MS + 1_500.0
        assert shutdown_deadline_ms(0.0, 1_500.0) > 1_500.0
        assert shutdown_deadline_ms(0.0, 8_000.0) == shutdown_deadline_ms(0.0, MAX_SIGKILL_DELAY_MS)

    async def test_a_write_that_may_have_run_is_failed_and_not_rejected_at_shutdown(self) -> None:
        release = asyncio.Event()

        async def never_respond(request: ReceivedRequest) -> None:
            await release.wait()

        origin = ScriptedServer(never_respond, uid="o1", model="origin", zone="north")
        async with running(origin) as (harness, director):
            reader, writer = await harness.connect()
            writer.write(encode_request("/invoke/bid/b1", method="PUT", body=b"12"))
            await wait_until(lambda: len(origin.received) == 1)
            director.exchange.answer_all_by(director.clock())
            assert " 502 " in (await read_message(reader))[0]
            assert len(origin.received) == 1
            writer.close()
            release.set()

"""Times that stand for a setting: how long a request may take to come, by when a stop has answered."""

import asyncio
import unittest

from gladewalk.core.readiness import MAX_SIGKILL_DELAY_MS, SHUTDOWN_ACCEPT_MS, shutdown_deadline_ms
from gladewalk.net.clients import FIRST_BYTE_TIMEOUT_MS
from gladewalk.rehearsal.director_harness import SETTINGS, wait_until
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

from .server_scripts import BYTES, hit, hit_after, running

LONGEST_MS = max(cls["give_up_ms"] for cls in SETTINGS["classes"])
WHOLE = encode_request("/invoke/lot-video/a1", wait_ms=LONGEST_MS)


class Arrivals(unittest.IsolatedAsyncioTestCase):
    async def half(self, idle_ms: float, coming_ms: float) -> tuple[str, bytes]:
        """A request that begins `idle_ms` after its connection and takes `coming_ms`; what it is answered."""
        async with running(ScriptedServer(hit)) as (world, director):
            front, began_ms = (
                director.front,
                director.front.clock(),
            )  # a clock that stands, on a busy machine, too
            reader, writer = await world.connect()
            await wait_until(lambda: len(front.awaiting) == 1)
            front.clock = lambda: began_ms + idle_ms
            writer.write(WHOLE[:-9])
            await wait_until(lambda: any(connection.has_partial_request for connection in front.awaiting))
            front.clock = lambda: began_ms + idle_ms + coming_ms
            front.sweep()  # as its deadline calls it
            writer.write(WHOLE[-9:])
            first, _, body = await read_message(reader)
            writer.close()
            return first.split(" ")[1], body

    async def test_a_request_may_take_as_long_to_come_as_the_settings_have_patience(self) -> None:
        assert LONGEST_MS > FIRST_BYTE_TIMEOUT_MS
        assert await self.half(0.0, LONGEST_MS - 100.0) == ("200", BYTES)

    async def test_its_time_begins_with_its_first_byte_and_not_with_its_connection(self) -> None:
        assert await self.half(FIRST_BYTE_TIMEOUT_MS - 100.0, LONGEST_MS - 100.0) == ("200", BYTES)

    async def test_one_that_takes_longer_is_told(self) -> None:
        assert (await self.half(0.0, LONGEST_MS + 1.0))[0] == "408"

    async def test_other_settings_are_other_times(self) -> None:
        async with running(ScriptedServer(hit)) as (_, director):
            assert director.front.request_timeout_ms == LONGEST_MS


class Stop(unittest.IsolatedAsyncioTestCase):
    async def test_who_has_more_patience_than_the_platform_has_an_answer_before_its_kill(self) -> None:
        held = asyncio.Event()
        cache = ScriptedServer(hit_after(held))
        async with running(cache) as (world, director):
            reader, writer = await world.connect()
            writer.write(WHOLE)
            await wait_until(lambda: len(cache.received) == 1)
            director.stop()
            kill_ms = director.clock() + SHUTDOWN_ACCEPT_MS + MAX_SIGKILL_DELAY_MS
            (taken,) = director.exchange.open_requests.values()
            assert LONGEST_MS > MAX_SIGKILL_DELAY_MS
            assert taken.deadline_ms < kill_ms
            late = await world.connect()  # it comes in the last moment, with all its patience
            late[1].write(
                encode_request("/invoke/lot-video/a2", trace="00000000000000a2", wait_ms=LONGEST_MS)
            )
            await wait_until(lambda: len(director.exchange.open_requests) == 2)
            assert all(t.deadline_ms < kill_ms for t in director.exchange.open_requests.values())
            director._stop_accepting()
            director.exchange.answer_all_by(director.clock())  # that time has come
            for one in (reader, late[0]):
                first, fields, _ = await read_message(one)
                assert (first.split(" ")[1], fields["connection"]) == ("502", "close")
            exchange = director.exchange
            assert (exchange.unanswered_count, exchange.dispatcher.state.pending) == (0, {})
            writer.close()
            late[1].close()
            await director._ended
            held.set()

    def test_a_stop_leaves_short_requests_all_their_time(self) -> None:
        assert shutdown_deadline_ms(0.0, 1_500.0) < SHUTDOWN_ACCEPT_MS + 1_500.0
        assert shutdown_deadline_ms(0.0, 1_500.0) > 1_500.0
        assert shutdown_deadline_ms(0.0, 8_000.0) == shutdown_deadline_ms(0.0, MAX_SIGKILL_DELAY_MS)

    async def test_a_write_that_may_have_run_is_failed_and_not_refused_then(self) -> None:
        held = asyncio.Event()

        async def never(heard: ReceivedRequest) -> None:
            await held.wait()

        origin = ScriptedServer(never, uid="o1", model="origin", zone="north")
        async with running(origin) as (world, director):
            reader, writer = await world.connect()
            writer.write(encode_request("/invoke/bid/b1", method="PUT", body=b"12"))
            await wait_until(lambda: len(origin.received) == 1)
            director.exchange.answer_all_by(director.clock())
            assert " 502 " in (await read_message(reader))[0]
            assert len(origin.received) == 1
            writer.close()
            held.set()

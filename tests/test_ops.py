"""The operators' days: readiness and drain decided without I/O, the second address, figures, a hand-over."""

import asyncio
import json
import signal
import socket
import tempfile
import unittest
from pathlib import Path
from typing import Any

from gladewalk.config.platform import read_config
from gladewalk.core.counters import Counters
from gladewalk.core.deadlines import Deadlines
from gladewalk.core.outcome_counters import Outcome, outcome_counter
from gladewalk.core.readiness import IDLE_CLOSE_GRACE_MS, MAX_IDLE_DRAIN_MS, Readiness
from gladewalk.director import Director
from gladewalk.net.admin import CALL_TIMEOUT_MS, MAX_ADMIN_CONNECTIONS, AdminFront, Response
from gladewalk.ops.metrics import Gauges, format_metrics
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import SETTINGS, config_for, wait_until
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

from .program import start_program

BODY = b"fish" * 100
PATIENCE_MS = 60_000.0  # a test that is not about times waits so long, on a busy machine, too


async def hit(heard: ReceivedRequest) -> None:
    await heard.answer(200, BODY, X_Remark="mem")


def figures_of(text: bytes) -> dict[str, str]:
    """The lines `svc.NAME=VALUE` of `GET /ops/stats`, by name."""
    return dict(line.split("=") for line in text.decode().splitlines())


def test_ready_only_once_started_and_neither_draining_nor_stopping() -> None:
    readiness = Readiness()
    assert not readiness.is_ready
    readiness.is_started = True
    assert readiness.is_ready
    readiness.start_drain(1_000.0)
    assert not readiness.is_ready
    assert readiness.is_draining
    readiness.stop_drain()
    assert readiness.is_ready and not readiness.is_draining
    readiness.is_stopping = True
    assert not readiness.is_ready
    readiness.stop_drain()  # a drain's end does not undo a SIGTERM
    assert not readiness.is_ready
    assert readiness.is_draining


def test_no_yes_before_the_coordinator_has_answered_once() -> None:
    readiness = Readiness(is_started=True, is_synced=False)
    assert not readiness.is_ready
    readiness.is_synced = True
    assert readiness.is_ready


def test_a_drain_keeps_its_beginning_and_closes_idle_connections_in_time() -> None:
    readiness = Readiness(is_started=True)
    assert not readiness.may_close_idle(0.0, is_input_empty=True)
    readiness.start_drain(10_000.0)
    readiness.start_drain(11_000.0)
    assert readiness.drain_since_ms == 10_000.0
    assert not readiness.may_close_idle(10_000.0 + IDLE_CLOSE_GRACE_MS - 1, is_input_empty=True)
    assert readiness.may_close_idle(10_000.0 + IDLE_CLOSE_GRACE_MS, is_input_empty=True)
    assert not readiness.may_close_idle(10_000.0 + IDLE_CLOSE_GRACE_MS, is_input_empty=False)
    assert readiness.may_close_idle(10_000.0 + MAX_IDLE_DRAIN_MS, is_input_empty=False)
    assert MAX_IDLE_DRAIN_MS < 4_000.0  # none is held idle when the front stops coming


def test_every_class_in_use_or_counted_has_each_end() -> None:
    counters = Counters()
    counters.add(outcome_counter("bid", Outcome.COMPLETED), 7)
    counters.add(outcome_counter("gone-class", Outcome.FAILED))
    counters.add("attempts.written", 9)
    counters.add("reloads.refused", 2)
    text = format_metrics(
        counters, ["bid", "lot-page"], Gauges(pending_requests=3, listed_servers=5, unavailable_servers=1)
    )
    lines = figures_of(text)
    assert lines["svc.downstream_requests.bid.completed"] == "7"
    assert lines["svc.downstream_requests.lot-page.rejected"] == "0"
    assert lines["svc.downstream_requests.gone-class.failed"] == "1"
    gauges = ("upstream_requests", "pending", "members", "members_unavailable")
    assert [lines[f"svc.{name}"] for name in gauges] == ["9", "3", "5", "1"]
    assert (lines["svc.config_reloads"], lines["svc.config_reload_errors"]) == ("0", "2")


async def exchange(address: Any, line: bytes) -> tuple[int, dict[str, str], bytes]:
    """One call on a connection of its own: status, fields, body."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(line)
    first, fields, body = await read_message(reader)
    writer.close()
    return int(first.split(" ")[1]), fields, body


async def call(address: Any, line: bytes) -> tuple[int, bytes]:
    status, _, body = await exchange(address, line)
    return status, body


class SecondAddress(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        loop = asyncio.get_running_loop()
        self.now = 0.0
        self.deadlines = Deadlines(lambda when: None)
        self.counters = Counters()
        routes = {"/ops/readiness": {"GET": lambda: Response(200, b"ready\n")}}
        self.admin = AdminFront(routes, lambda: self.now, self.deadlines, self.counters)
        await self.admin.listen(("127.0.0.1", 0))
        self.loop = loop

    async def asyncTearDown(self) -> None:
        self.admin.close()

    async def test_calls_are_answered_by_path_and_method_and_bad_ones_are_refused(self) -> None:
        address = self.admin.address
        self.assertEqual(await call(address, encode_request("/ops/readiness")), (200, b"ready\n"))
        self.assertEqual((await call(address, encode_request("/ops/nothing")))[0], 404)
        self.assertEqual((await call(address, encode_request("/ops/readiness", method="PUT")))[0], 405)
        self.assertEqual((await call(address, b"\x00\x01 nonsense\r\n\r\n"))[0], 400)
        self.assertEqual((self.counters["admin.unknown_path"], self.counters["admin.wrong_method"]), (1, 1))

    async def test_silent_callers_cost_a_bounded_descriptor_and_timer_and_block_nobody(self) -> None:
        silent = [
            await asyncio.open_connection(*self.admin.address) for _ in range(MAX_ADMIN_CONNECTIONS + 8)
        ]
        half = silent[0][1]
        half.write(b"GET /ops/read")
        self.assertEqual(await call(self.admin.address, encode_request("/ops/readiness")), (200, b"ready\n"))
        await wait_until(lambda: len(self.admin.connections) <= MAX_ADMIN_CONNECTIONS)
        self.now += CALL_TIMEOUT_MS
        self.deadlines.sweep(self.now)
        await wait_until(lambda: not self.admin.connections)
        for reader, writer in silent:
            self.assertEqual(await reader.read(), b"")  # closed, unanswered
            writer.close()
        self.assertGreaterEqual(self.counters["admin.calls_unfinished"], MAX_ADMIN_CONNECTIONS)


class Program(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cache, self.coordinator = await ScriptedServer(hit).start(), await Coordinator().start()
        self.config = {**config_for([self.cache], self.coordinator), "admin_addr": "127.0.0.1:0"}
        self.file = Path(self.enterContext(tempfile.TemporaryDirectory()), "config.json")
        self.write(self.config)

    async def asyncTearDown(self) -> None:
        self.cache.stop()
        self.coordinator.stop()

    def write(self, config: dict[str, Any]) -> None:
        self.file.write_text(json.dumps(config))

    async def test_a_drain_says_no_serves_kept_connections_closes_them_and_ends_with_a_yes(self) -> None:
        program = await start_program(self.file)
        serving = await program.event("serving")
        admin, listen = serving["admin"], serving["listen"]
        self.assertEqual(await call(admin, encode_request("/ops/readiness")), (200, b"ready\n"))
        kept_reader, kept = await asyncio.open_connection(*listen)
        resting_reader, resting = await asyncio.open_connection(*listen)
        for writer, reader in ((kept, kept_reader), (resting, resting_reader)):
            writer.write(encode_request("/invoke/lot-page/a1?nth=0"))
            self.assertEqual((await read_message(reader))[2], BODY)
        self.assertEqual((await call(admin, encode_request("/ops/drain/start", method="PUT")))[0], 200)
        self.assertEqual((await call(admin, encode_request("/ops/readiness")))[0], 503)
        health_reader, health = await asyncio.open_connection(*listen)
        # The front's own check says no as well, and when to ask again.
        health.write(encode_request("/_health"))
        first, fields, _ = await read_message(health_reader)
        self.assertEqual((first.split(" ")[1], fields.get("retry-after")), ("503", "1"))
        health.close()
        # A kept connection is still served, then closed.
        kept.write(encode_request("/invoke/lot-page/a1?nth=0"))
        first, fields, body = await read_message(kept_reader)
        self.assertEqual((" 200 " in first, fields.get("connection"), body), (True, "close", BODY))
        self.assertEqual(await kept_reader.read(), b"")
        self.assertEqual(await resting_reader.read(), b"")  # one at rest is closed within the drain
        status, fields, body = await read_message_on(listen)  # a new connection is served, too
        self.assertEqual((status, body), (200, BODY))
        self.assertEqual((await call(admin, encode_request("/ops/drain/stop", method="PUT")))[0], 200)
        self.assertEqual(await call(admin, encode_request("/ops/readiness")), (200, b"ready\n"))
        self.assertEqual((await call(listen, encode_request("/_health")))[0], 200)
        figures = figures_of((await call(admin, encode_request("/ops/stats")))[1])
        self.assertEqual(figures["svc.downstream_requests.lot-page.completed"], "4")  # as the client saw
        self.assertEqual(figures["svc.upstream_requests"], str(len(self.cache.received)))
        self.assertEqual((figures["svc.pending"], figures["svc.members"]), ("0", "1"))
        self.assertEqual(await program.stop(), 0)
        for writer in (kept, resting):
            writer.close()

    async def test_a_broken_file_is_taken_from_not_at_all_and_a_good_one_brings_its_classes(self) -> None:
        program = await start_program(self.file)
        serving = await program.event("serving")
        admin, listen = serving["admin"], serving["listen"]
        settings = self.config["settings"]
        page = settings["classes"][1]
        broken = [
            "",
            json.dumps(self.config)[:-40],
            json.dumps({key: value for key, value in self.config.items() if key != "settings"}),
            json.dumps({**self.config, "settings": {**settings, "classes": [{**page, "give_up_ms": 0}]}}),
            json.dumps({**self.config, "settings": {**settings, "limits": {"most_tries": -1}}}),
            json.dumps({**self.config, "settings": {**settings, "classes": [{**page, "give_up_ms": "3s"}]}}),
        ]
        whys = []
        for text in broken:
            self.file.write_text(text)
            program.send(signal.SIGHUP)
            whys.append((await program.event("configuration kept"))["why"])
        self.assertTrue(all(why.startswith(f"{self.file}: ") for why in whys))
        self.assertIn("settings.classes[0].give_up_ms: not a positive number", whys[3])
        self.assertIn("settings.limits.most_tries: not a positive number", whys[4])
        self.assertEqual((await read_message_on(listen))[0], 200)  # lot-page, as before
        figures = figures_of((await call(admin, encode_request("/ops/stats")))[1])
        self.assertEqual((figures["svc.config_reloads"], figures["svc.config_reload_errors"]), ("0", "6"))
        fish = {**page, "name": "fish-auction"}
        self.write({**self.config, "settings": {**settings, "classes": [fish]}})
        program.send(signal.SIGHUP)
        await program.event("configuration taken")
        self.assertEqual((await read_message_on(listen, "/invoke/fish-auction/a1?nth=0"))[0], 200)
        self.assertEqual((await read_message_on(listen))[0], 404)  # lot-page is gone
        figures = figures_of((await call(admin, encode_request("/ops/stats")))[1])
        self.assertEqual((figures["svc.config_reloads"], figures["svc.config_reload_errors"]), ("1", "6"))
        self.assertEqual(figures["svc.downstream_requests.fish-auction.completed"], "1")
        self.assertEqual(figures["svc.downstream_requests.lot-page.completed"], "1")  # gone, and kept
        self.assertEqual(await program.stop(), 0)

    async def test_the_listener_is_handed_over_as_descriptor_3_and_no_request_is_refused(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.addCleanup(listener.close)
        address = listener.getsockname()
        self.write({**self.config, "listen": "127.0.0.1:1"})
        old = await start_program(self.file, listener_fd=listener.fileno())
        await old.event("serving")
        asking = asyncio.ensure_future(keep_asking(address))
        await wait_until(lambda: len(self.cache.received) >= 5)
        new = await start_program(self.file, listener_fd=listener.fileno())
        serving = await new.event("serving")
        self.assertEqual(await call(serving["admin"], encode_request("/ops/readiness")), (200, b"ready\n"))
        self.assertEqual(await old.stop(), 0)
        seen = len(self.cache.received)
        # The new one serves from the same queue.
        await wait_until(lambda: len(self.cache.received) >= seen + 5)
        statuses = await stop_asking(asking)
        self.assertEqual(set(statuses), {200})
        await new.stop()


async def read_message_on(
    address: Any, path: str = "/invoke/lot-page/a1?nth=0"
) -> tuple[int, dict[str, str], bytes]:
    return await exchange(address, encode_request(path))


STOP = asyncio.Event()


async def keep_asking(address: Any) -> list[int]:
    statuses: list[int] = []
    while not STOP.is_set() and len(statuses) < 5_000:
        statuses.append((await read_message_on(address))[0])
    return statuses


async def stop_asking(asking: "asyncio.Future[list[int]]") -> list[int]:
    STOP.set()
    try:
        return await asking
    finally:
        STOP.clear()


class Start(unittest.IsolatedAsyncioTestCase):
    async def test_requests_wait_for_the_coordinator_and_miss_a_cache_drained_meanwhile(self) -> None:
        first, second = ScriptedServer(hit, "c1"), ScriptedServer(hit, "c2")
        coordinator = await Coordinator(may_answer=asyncio.Event()).start()
        for peer in (first, second):
            await peer.start()
        patient = {**SETTINGS, "limits": {**SETTINGS["limits"], "connect_timeout_ms": PATIENCE_MS}}
        config = read_config(config_for([first, second], coordinator, patient), {})  # it knows both as ready
        drained = {**first.target(), "state": "DRAINING"}
        coordinator.events.append({"index": 2, "endpoints": {"rev": 2, "all": False, "targets": [drained]}})
        director = Director(config, asyncio.get_running_loop())
        director.max_sync_wait_ms = 600_000.0  # the coordinator's answer, not a time, ends the wait here
        await director.start()
        self.assertFalse(director.readiness.is_ready)
        clients = [await asyncio.open_connection(*director.front.address) for _ in range(8)]
        for key, (_, writer) in enumerate(clients, 1):  # homes on both caches, by hash
            path = f"/invoke/lot-page/{key:x}?nth=0"
            writer.write(encode_request(path, trace=f"{key:016x}", wait_ms=PATIENCE_MS))
        await wait_until(lambda: len(director.exchange.buffered_requests or ()) == 8)
        self.assertEqual((first.received, second.received), ([], []))
        assert coordinator.may_answer is not None
        coordinator.may_answer.set()
        for reader, writer in clients:
            self.assertEqual((await read_message(reader))[2], BODY)
            writer.close()
        self.assertEqual((len(first.received), len(second.received)), (0, 8))
        self.assertTrue(director.readiness.is_ready)
        director.front.close()
        director.coordinator_watch.close()
        coordinator.stop()
        for peer in (first, second):
            peer.stop()

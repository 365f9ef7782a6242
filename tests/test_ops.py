"""Operations: readiness, drain, the second address, metrics, reload, and handing over the listener."""

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
from gladewalk.net.feed_sync import SyncLimits
from gladewalk.ops.metrics import Gauges, format_metrics
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import SETTINGS, config_for, wait_until
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

from .program import start_program

BODY = b"fish" * 100
LONG_TIMEOUT_MS = 60_000.0  # not reached even on a busy machine; for tests that are not about timeouts


async def hit(request: ReceivedRequest) -> None:
    await request.respond(200, BODY, X_Remark="mem")


def parse_metrics(text: bytes) -> dict[str, str]:
    """Returns the values of `GET /ops/stats`, whose lines are `svc.NAME=VALUE`, by name."""
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
    readiness.stop_drain()  # the end of a drain does not cancel the shutdown after SIGTERM
    assert not readiness.is_ready
    assert readiness.is_draining


def test_not_ready_before_the_coordinator_has_responded_once() -> None:
    readiness = Readiness(is_started=True, is_synced=False)
    assert not readiness.is_ready
    readiness.is_synced = True
    assert readiness.is_ready


def test_repeated_drain_keeps_its_start_and_closes_idle_connections_in_time() -> None:
    readiness = Readiness(is_started=True)
    assert not readiness.may_close_idle(0.0, is_input_empty=True)
    readiness.start_drain(10_000.0)
    readiness.start_drain(11_000.0)
    assert readiness.drain_since_ms == 10_000.0
    assert not readiness.may_close_idle(10_000.0 + IDLE_CLOSE_GRACE_MS - 1, is_input_empty=True)
    assert readiness.may_close_idle(10_000.0 + IDLE_CLOSE_GRACE_MS, is_input_empty=True)
    assert not readiness.may_close_idle(10_000.0 + IDLE_CLOSE_GRACE_MS, is_input_empty=False)
    assert readiness.may_close_idle(10_000.0 + MAX_IDLE_DRAIN_MS, is_input_empty=False)
    assert MAX_IDLE_DRAIN_MS < 4_000.0  # no idle connection is left when the load balancer stops sending


def test_metrics_have_every_outcome_of_each_configured_or_counted_class() -> None:
    counters = Counters()
    counters.add(outcome_counter("bid", Outcome.COMPLETED), 7)
    counters.add(outcome_counter("gone-class", Outcome.FAILED))
    counters.add("attempts.written", 9)
    counters.add("reloads.refused", 2)
    text = format_metrics(
        counters, ["bid", "lot-page"], Gauges(pending_requests=3, listed_servers=5, unavailable_servers=1)
    )
    values = parse_metrics(text)
    assert values["svc.downstream_requests.bid.completed"] == "7"
    assert values["svc.downstream_requests.lot-page.rejected"] == "0"
    assert values["svc.downstream_requests.gone-class.failed"] == "1"
    names = ("upstream_requests", "pending", "members", "members_unavailable")
    assert [values[f"svc.{name}"] for name in names] == ["9", "3", "5", "1"]
    assert (values["svc.config_reloads"], values["svc.config_reload_errors"]) == ("0", "2")


async def send_request(address: Any, raw_request: bytes) -> tuple[int, dict[str, str], bytes]:
    """Sends one request on its own connection; returns the response's status, header fields and body."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(raw_request)
    status_line, fields, body = await read_message(reader)
    writer.close()
    return int(status_line.split(" ")[1]), fields, body


async def fetch(address: Any, raw_request: bytes) -> tuple[int, bytes]:
    """Sends one request like `send_request`; returns the response's status and body."""
    status, _, body = await send_request(address, raw_request)
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

    async def test_requests_are_routed_by_path_and_method_and_invalid_ones_rejected(self) -> None:
        address = self.admin.address
        self.assertEqual(await fetch(address, encode_request("/ops/readiness")), (200, b"ready\n"))
        self.assertEqual((await fetch(address, encode_request("/ops/nothing")))[0], 404)
        self.assertEqual((await fetch(address, encode_request("/ops/readiness", method="PUT")))[0], 405)
        self.assertEqual((await fetch(address, b"\x00\x01 nonsense\r\n\r\n"))[0], 400)
        self.assertEqual((self.counters["admin.unknown_path"], self.counters["admin.wrong_method"]), (1, 1))

    async def test_idle_connections_are_limited_then_closed_and_do_not_block_others(self) -> None:
        idle_connections = [
            await asyncio.open_connection(*self.admin.address) for _ in range(MAX_ADMIN_CONNECTIONS + 8)
        ]
        partial_sender = idle_connections[0][1]
        partial_sender.write(b"GET /ops/read")
        self.assertEqual(await fetch(self.admin.address, encode_request("/ops/readiness")), (200, b"ready\n"))
        await wait_until(lambda: len(self.admin.connections) <= MAX_ADMIN_CONNECTIONS)
        self.now += CALL_TIMEOUT_MS
        self.deadlines.sweep(self.now)
        await wait_until(lambda: not self.admin.connections)
        for reader, writer in idle_connections:
            self.assertEqual(await reader.read(), b"")  # closed without a response
            writer.close()
        self.assertGreaterEqual(self.counters["admin.calls_unfinished"], MAX_ADMIN_CONNECTIONS)


class DirectorProcess(unittest.IsolatedAsyncioTestCase):
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

    async def test_drain_reports_unready_serves_open_connections_and_closes_them(self) -> None:
        program = await start_program(self.file)
        serving = await program.event("serving")
        admin, listen = serving["admin"], serving["listen"]
        self.assertEqual(await fetch(admin, encode_request("/ops/readiness")), (200, b"ready\n"))
        active_reader, active_writer = await asyncio.open_connection(*listen)
        idle_reader, idle_writer = await asyncio.open_connection(*listen)
        for writer, reader in ((active_writer, active_reader), (idle_writer, idle_reader)):
            writer.write(encode_request("/invoke/lot-page/a1?nth=0"))
            self.assertEqual((await read_message(reader))[2], BODY)
        self.assertEqual((await fetch(admin, encode_request("/ops/drain/start", method="PUT")))[0], 200)
        self.assertEqual((await fetch(admin, encode_request("/ops/readiness")))[0], 503)
        health_reader, health_writer = await asyncio.open_connection(*listen)
        # The health check at the clients' address also fails, and tells when to retry.
        health_writer.write(encode_request("/_health"))
        status_line, fields, _ = await read_message(health_reader)
        self.assertEqual((status_line.split(" ")[1], fields.get("retry-after")), ("503", "1"))
        health_writer.close()
        # A request on an open connection is served, and then the connection is closed.
        active_writer.write(encode_request("/invoke/lot-page/a1?nth=0"))
        status_line, fields, body = await read_message(active_reader)
        self.assertEqual((" 200 " in status_line, fields.get("connection"), body), (True, "close", BODY))
        self.assertEqual(await active_reader.read(), b"")
        self.assertEqual(await idle_reader.read(), b"")  # idle connections are closed during the drain
        status, fields, body = await read_message_on(listen)  # new connections are served as well
        self.assertEqual((status, body), (200, BODY))
        self.assertEqual((await fetch(admin, encode_request("/ops/drain/stop", method="PUT")))[0], 200)
        self.assertEqual(await fetch(admin, encode_request("/ops/readiness")), (200, b"ready\n"))
        self.assertEqual((await fetch(listen, encode_request("/_health")))[0], 200)
        metrics = parse_metrics((await fetch(admin, encode_request("/ops/stats")))[1])
        # The count equals the number of responses that the clients received.
        self.assertEqual(metrics["svc.downstream_requests.lot-page.completed"], "4")
        self.assertEqual(metrics["svc.upstream_requests"], str(len(self.cache.received)))
        self.assertEqual((metrics["svc.pending"], metrics["svc.members"]), ("0", "1"))
        self.assertEqual(await program.stop(), 0)
        for writer in (active_writer, idle_writer):
            writer.close()

    async def test_reload_ignores_an_invalid_file_and_applies_the_classes_of_a_valid_one(self) -> None:
        program = await start_program(self.file)
        serving = await program.event("serving")
        admin, listen = serving["admin"], serving["listen"]
        settings = self.config["settings"]
        page = settings["classes"][1]
        invalid_files = [
            "",
            json.dumps(self.config)[:-40],
            json.dumps({key: value for key, value in self.config.items() if key != "settings"}),
            json.dumps({**self.config, "settings": {**settings, "classes": [{**page, "give_up_ms": 0}]}}),
            json.dumps({**self.config, "settings": {**settings, "limits": {"most_tries": -1}}}),
            json.dumps({**self.config, "settings": {**settings, "classes": [{**page, "give_up_ms": "3s"}]}}),
        ]
        reasons = []
        for text in invalid_files:
            self.file.write_text(text)
            program.send(signal.SIGHUP)
            reasons.append((await program.event("configuration kept"))["why"])
        self.assertTrue(all(reason.startswith(f"{self.file}: ") for reason in reasons))
        self.assertIn("settings.classes[0].give_up_ms: not a positive number", reasons[3])
        self.assertIn("settings.limits.most_tries: not a positive number", reasons[4])
        self.assertEqual((await read_message_on(listen))[0], 200)  # lot-page is still configured
        metrics = parse_metrics((await fetch(admin, encode_request("/ops/stats")))[1])
        self.assertEqual((metrics["svc.config_reloads"], metrics["svc.config_reload_errors"]), ("0", "6"))
        new_class = {**page, "name": "fish-auction"}
        self.write({**self.config, "settings": {**settings, "classes": [new_class]}})
        program.send(signal.SIGHUP)
        await program.event("configuration taken")
        self.assertEqual((await read_message_on(listen, "/invoke/fish-auction/a1?nth=0"))[0], 200)
        self.assertEqual((await read_message_on(listen))[0], 404)  # lot-page is no longer configured
        metrics = parse_metrics((await fetch(admin, encode_request("/ops/stats")))[1])
        self.assertEqual((metrics["svc.config_reloads"], metrics["svc.config_reload_errors"]), ("1", "6"))
        self.assertEqual(metrics["svc.downstream_requests.fish-auction.completed"], "1")
        # The counts of a class are kept when it is no longer configured.
        self.assertEqual(metrics["svc.downstream_requests.lot-page.completed"], "1")
        self.assertEqual(await program.stop(), 0)

    async def test_listener_handed_over_as_descriptor_3_rejects_no_request(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.addCleanup(listener.close)
        address = listener.getsockname()
        self.write({**self.config, "listen": "127.0.0.1:1"})
        old = await start_program(self.file, listener_fd=listener.fileno())
        await old.event("serving")
        client = asyncio.ensure_future(send_requests_until_stopped(address))
        await wait_until(lambda: len(self.cache.received) >= 5)
        new = await start_program(self.file, listener_fd=listener.fileno())
        serving = await new.event("serving")
        self.assertEqual(await fetch(serving["admin"], encode_request("/ops/readiness")), (200, b"ready\n"))
        self.assertEqual(await old.stop(), 0)
        received_count = len(self.cache.received)
        # The new process accepts connections from the same queue.
        await wait_until(lambda: len(self.cache.received) >= received_count + 5)
        statuses = await stop_client(client)
        self.assertEqual(set(statuses), {200})
        await new.stop()


async def read_message_on(
    address: Any, path: str = "/invoke/lot-page/a1?nth=0"
) -> tuple[int, dict[str, str], bytes]:
    return await send_request(address, encode_request(path))


STOP = asyncio.Event()


async def send_requests_until_stopped(address: Any) -> list[int]:
    statuses: list[int] = []
    while not STOP.is_set() and len(statuses) < 5_000:
        statuses.append((await read_message_on(address))[0])
    return statuses


async def stop_client(client: "asyncio.Future[list[int]]") -> list[int]:
    STOP.set()
    try:
        return await client
    finally:
        STOP.clear()


class Start(unittest.IsolatedAsyncioTestCase):
    async def test_requests_wait_for_the_coordinator_and_avoid_a_cache_that_drains(self) -> None:
        first, second = ScriptedServer(hit, "c1"), ScriptedServer(hit, "c2")
        coordinator = await Coordinator(responses_allowed=asyncio.Event()).start()
        for peer in (first, second):
            await peer.start()
        patient_settings = {
            **SETTINGS,
            "limits": {**SETTINGS["limits"], "connect_timeout_ms": LONG_TIMEOUT_MS},
        }
        # The configuration file lists both caches as serving.
        config = read_config(config_for([first, second], coordinator, patient_settings), {})
        draining_entry = {**first.target(), "state": "DRAINING"}
        coordinator.events.append(
            {"index": 2, "endpoints": {"rev": 2, "all": False, "targets": [draining_entry]}}
        )
        director = Director(config, asyncio.get_running_loop())
        # Only the coordinator's response ends the wait.
        director.sync_limits = SyncLimits(600_000.0, 600_000.0, 600_000.0, 600_000.0, 0.0)
        await director.start()
        self.assertFalse(director.readiness.is_ready)
        clients = [await asyncio.open_connection(*director.front.address) for _ in range(8)]
        for key, (_, writer) in enumerate(clients, 1):  # the objects' homes are on both caches
            path = f"/invoke/lot-page/{key:x}?nth=0"
            writer.write(encode_request(path, trace=f"{key:016x}", wait_ms=LONG_TIMEOUT_MS))
        await wait_until(lambda: len(director.exchange.buffered_requests or ()) == 8)
        self.assertEqual((first.received, second.received), ([], []))
        assert coordinator.responses_allowed is not None
        coordinator.responses_allowed.set()
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

"""Compares files, command output and runs of rehearsals and the fault network with version 090a370."""

import asyncio
import contextlib
import dataclasses
import hashlib
import json
import os
import random
import re
import subprocess
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
import pytest
from h2.exceptions import ProtocolError

import gladewalk
from gladewalk.faultnet import fleet as fleet_module
from gladewalk.faultnet.expected_failures import expected_failures
from gladewalk.faultnet.fleet import Fleet
from gladewalk.faultnet.nemesis import path_effect
from gladewalk.faultnet.relay import NetworkPath, PathEffect
from gladewalk.faultnet.schedule import (
    GENERATED_KINDS,
    Fault,
    FaultKind,
    affected_pairs,
    encode_schedule,
    generate_schedule,
    load_schedule,
)
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for
from gladewalk.rehearsal.http2_fault_script import Http2FaultScript
from gladewalk.rehearsal.http_messages import encode_request
from gladewalk.rehearsal.scripted_http2_server import Http2Request, ScriptedHttp2Server
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer
from gladewalk.rehearsal.virtual.clients import REQUEST_CLASSES
from gladewalk.rehearsal.virtual.loop import VirtualLoop, run_virtually
from gladewalk.rehearsal.virtual.scenario import encode_scenario, generate_scenario, load_scenario
from gladewalk.rehearsal.virtual.scenario_run import run_scenario
from gladewalk.rehearsal.virtual.scenario_search import find_failing_scenarios
from tests.mutants import change_endpoint_list, mark_all_ready

from .golden_http2_client import Http2Client

ROOT = Path(__file__).parent.parent
GOLDEN = Path(__file__).parent / "golden"
SCENARIO_FILES = sorted((ROOT / "scenarios").glob("*.toml"))
LINK_KINDS = (FaultKind.LINK, FaultKind.FLAP, FaultKind.DUPLICATE)
NAMES = ("n0", "n1", "n2", "n3", "n4")
FINDING_SEED = 1
SHORT_SCENARIO = """
seconds = 8.0
[traffic]
per_s = 30.0
[[fault]]
at_s = 2.0
kind = "surge"
amount = 2.0
"""
SITE_CONFIG = """
upstream a { server 10.0.0.1:80; }
server {
  listen 80;
  location /a/ { proxy_pass http://a; }
  location /no { return 403; }
}
"""
TRACE_LINES = 4  # lines that are compared at the beginning and at the end of a trace
WALL_TIME = re.compile(r'in [0-9.e-]+ s *|"wall_s": [0-9.e-]+')


def hide_wall_time(found: re.Match[str]) -> str:
    """Replaces a wall time by a text of the same width if it is padded, as titles are to a table's width."""
    is_padded = found[0].endswith(" ")
    return "in TIME".ljust(len(found[0])) if is_padded else "in TIME"


def digest(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()


# Runs of scenarios in virtual time.


def run_scenario_file(path: Path) -> dict[str, Any]:
    """Returns a scenario's trace with seed 1: its digest, its first and last lines, and the outcomes."""
    lines: list[str] = []
    record_event = VirtualLoop.record_event

    def record_line(
        self: VirtualLoop, kind: str, number: int, here: str, there: str, piece: bytes | str = b""
    ) -> None:
        record_event(self, kind, number, here, there, piece)
        data = piece if isinstance(piece, bytes) else piece.encode()
        lines.append(f"{self.time():.6f} {kind} {number} {here} {there} {len(data)} {digest(data)[:16]}")

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(VirtualLoop, "record_event", record_line)
        verdict = run_scenario(load_scenario(path, tuple(REQUEST_CLASSES)), 1)
    report = verdict.report()
    del report["wall_s"]
    report["first"], report["last"] = lines[:TRACE_LINES], lines[: report["events"]][-TRACE_LINES:]
    return report


def run_all_scenario_files() -> dict[str, Any]:
    with ProcessPoolExecutor(max_workers=4) as pool:
        return dict(
            zip(
                (path.name for path in SCENARIO_FILES),
                pool.map(run_scenario_file, SCENARIO_FILES),
                strict=True,
            )
        )


def run_command(*words: str) -> list[Any]:
    """Returns the exit code and output of a command, without wall times."""
    done = subprocess.run(
        [sys.executable, "-m", "gladewalk", *words], cwd=Path(gladewalk.__file__).parent.parent,
        capture_output=True, text=True, timeout=120, check=False, env={**os.environ, "COLUMNS": "120"},
    )  # fmt: skip
    return [done.returncode, WALL_TIME.sub(hide_wall_time, done.stdout + done.stderr)]


def commands(folder: Path) -> dict[str, Any]:
    (folder / "site.conf").write_text(SITE_CONFIG)
    (folder / "short.toml").write_text(SHORT_SCENARIO)
    short = str(folder / "short.toml")
    return {
        "play": run_command("play", short, "--seed", "3"),
        "json": run_command("play", short, "--seed", "3", "--json"),
        "explain": run_command("play", short, "--seed", "3", "--explain", f"{100:016x}"),
        "explain_nobody": run_command("play", short, "--seed", "3", "--explain", "nobody"),
        "rehearse": run_command("rehearse", str(folder / "site.conf"), "/a/x", "/no", "/else"),
        "hunt": run_command("hunt", "--first", "5", "--count", "1"),
    }


def findings() -> list[Any]:
    """Returns what the search finds in a director that ignores drains: generated and minimized scenarios."""
    found = find_failing_scenarios([FINDING_SEED], change_endpoint_list(mark_all_ready))
    return [
        [one.seed, one.rule, encode_scenario(one.generated), encode_scenario(one.minimized)] for one in found
    ]


def generated_scenarios() -> list[str]:
    return [encode_scenario(generate_scenario(seed)) for seed in (1, 2, 3)]


# Fault schedules and their effects on network paths.

SCHEDULE = """
[[fault]]
at_ms = 3000
ms = 2500.5
kind = "pause"
who = ["n0"]

[[fault]]
at_ms = 1000.0
ms = 500
kind = "flap"
who = ["n1", "n2"]
amount = 80
"""


def to_json_types(value: Any) -> Any:
    """Converts a value of any class to JSON types, without field names."""
    if isinstance(value, msgspec.Struct):
        return [to_json_types(one) for one in msgspec.structs.astuple(value)]
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return [to_json_types(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, set | frozenset):
        return sorted(to_json_types(one) for one in value)
    if isinstance(value, list | tuple):
        return [to_json_types(one) for one in value]
    return str(value) if isinstance(value, str) else value


def schedules(folder: Path) -> dict[str, Any]:
    path = folder / "schedule.toml"
    path.write_text(SCHEDULE)
    faults = [
        Fault(1_000.0 * n, 700.0, kind, ("n1", "n3"), 0.25)
        for n, kind in enumerate((*GENERATED_KINDS, *LINK_KINDS))
    ]
    return {
        "generated": [encode_schedule(generate_schedule(seed, NAMES, 30_000.0, 8)) for seed in (1, 7)],
        "generated_links": encode_schedule(generate_schedule(3, NAMES, 20_000.0, 6, LINK_KINDS)),
        "read": to_json_types(load_schedule(path)),
        "written_again": encode_schedule(load_schedule(path)),
        "pairs": [to_json_types(affected_pairs(fault, NAMES)) for fault in faults],
        "effects": [to_json_types(path_effect(fault)) for fault in faults],
        "expected_failures": to_json_types(expected_failures(faults, NAMES, 50_000.0, 300.0)),
    }


def paths() -> dict[str, Any]:
    """Returns a path's draws for successive datagrams with a fixed seed."""
    rng = random.Random(9)
    effects = [
        PathEffect(loss_rate=0.2),
        PathEffect(duplicate_rate=0.3, delay_ms=5.0, jitter_ms=20.0),
        PathEffect(delay_ms=1.0),
    ]
    path = NetworkPath(effects)
    return {
        "drops": [path.draw_loss(rng) for _ in range(40)],
        "copies": [path.draw_copies(rng) for _ in range(40)],
        "waits": [path.draw_delay_ms(rng) for _ in range(10)],
        "cut": NetworkPath([*effects, PathEffect(is_cut=True)]).draw_loss(rng),
    }


def fleet_options(folder: Path) -> dict[str, Any]:
    """Returns the options of a fleet's directors; ports are counted up, and no relays are opened."""
    ports = iter(range(20_001, 21_000))
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(fleet_module, "free_port", lambda: next(ports))
        fleet = Fleet(folder, NAMES[:3], {}, 5, {"promise_ms": 900.0}, {"period_ms": 200.0}, {"x": {"y": 1}})
        bare = Fleet(folder, NAMES[:2], {}, 5, None)
    return {"n1": fleet.build_options("n1", 1.25), "bare": bare.build_options("n0", 1.0)}


# Bytes sent by the stand-in servers on the virtual loop.


async def respond_by_path(request: ReceivedRequest) -> None:
    match request.path:
        case "/hit":
            await request.respond(200, b"fish" * 20, X_Remark="mem", Made_At="1764576000123")
        case "/same":
            await request.respond(304, Tag="4be0")
        case "/crowded":
            await request.respond(503, X_Shed="1")
        case "/gone":
            request.writer.transport.abort()
        case _:
            await request.respond(
                404, f"{request.method} {sorted(request.headers.items())} {request.body!r}".encode()
            )


async def send_and_read(address: str, data: bytes) -> bytes:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    writer.write_eof()
    response_bytes = b""
    try:
        while piece := await reader.read(65_536):
            response_bytes += piece
    except ConnectionError:
        response_bytes += b"(reset)"
    writer.close()
    return response_bytes


async def http1_bytes(loop: VirtualLoop) -> dict[str, Any]:
    http1_server = await ScriptedServer(respond_by_path, "c7", host="10.2.0.1", boot_ms=5.0).start()
    encoded_requests = [encode_request(path, trace="00ff") for path in ("/hit", "/same", "/crowded", "/else")]
    encoded_requests += [
        encode_request("/else", "PUT", 1_500.0, b"bid", X_Batch="3"),
        encode_request("/gone"),
    ]
    responses = await send_and_read(http1_server.address, b"".join(encoded_requests))
    coordinator = await Coordinator().start()
    config = config_for([http1_server], coordinator)
    coordinator.publish(evict={"shard": 3, "unix_ms": 1.5})
    coordinator.publish_endpoints(http1_server)
    follower = await asyncio.open_connection("127.0.0.1", int(coordinator.address.rpartition(":")[2]))
    follower[1].write(b"FOLLOW 1\n")
    await asyncio.sleep(1.0)
    coordinator.publish_endpoints(is_complete=True)
    await asyncio.sleep(1.0)
    coordinator.disconnect()
    try:
        feed_data = await follower[0].read()
    except ConnectionError:
        feed_data = bytes(follower[0]._buffer)  # type: ignore[attr-defined]
    return {
        "asked": [one.decode() for one in encoded_requests], "said": responses.decode(),
        "connections": http1_server.connections,
        "heard": [[h.method, h.path, h.headers, h.body.decode()] for h in http1_server.received],
        "target": http1_server.target(), "config": config, "follows": coordinator.followed_from,
        "fed": feed_data.decode(),
    }  # fmt: skip


def respond_over_http2(http2_request: Http2Request) -> None:
    match http2_request.path:
        case "/hit":
            http2_request.respond(200, b"fish" * 9_000, tag="77")
        case "/same":
            http2_request.respond(304)
        case "/reset":
            http2_request.reset(8)
        case "/go":
            http2_request.connection.send_goaway(http2_request.connection.last_processed_id)
            http2_request.respond(503, may_process=False, x_shed="1")
        case "/settings":
            http2_request.connection.update_settings(max_concurrent_streams=7)
            http2_request.respond(200, http2_request.body)
        case _:
            http2_request.send_headers(404, 2)
            http2_request.connection.send_body(http2_request, b"no", True)


async def http2_bytes(loop: VirtualLoop) -> dict[str, Any]:
    http2_server = await ScriptedHttp2Server(
        respond_over_http2, "c8", host="10.2.0.2", max_concurrent_streams=9
    ).start()
    host, _, port = http2_server.address.rpartition(":")
    _, client = await loop.create_connection(Http2Client, host, int(port))
    assert isinstance(client, Http2Client)
    await asyncio.sleep(1.0)
    for number, path in enumerate(("/hit", "/same", "/reset", "/settings", "/else", "/go")):
        client.send_request(f"t{number}", path, b"bid" if path == "/settings" else b"")
        await asyncio.sleep(1.0)
    http2_server.stop()
    await asyncio.sleep(1.0)
    return {
        "said": [len(client.received_data), digest(client.received_data), client.received_data[:100].hex()],
        "target": http2_server.target(),
        "ran": http2_server.process_counts(),
        "heard": [[a.method, a.path, a.ticket, a.body.decode()] for a in http2_server.received],
        "counts": [
            http2_server.connections,
            http2_server.max_connections,
            http2_server.max_streams,
            http2_server.streams_over_limit,
            http2_server.resets_received,
        ],
        "breaches": http2_server.protocol_errors,
    }


async def broken_bytes(loop: VirtualLoop) -> dict[str, Any]:
    """Runs a server that breaks connections by its seed; the client reconnects after each break."""
    fault_script = Http2FaultScript(4, 0.4)
    http2_server = await ScriptedHttp2Server(fault_script, "c9", host="10.2.0.3").start()
    host, _, port = http2_server.address.rpartition(":")
    client, received_hash = Http2Client(), hashlib.sha256()
    client.is_closed = True
    for number in range(120):
        if client.is_closed:
            received_hash.update(client.received_data)
            client = Http2Client()
            await loop.create_connection(lambda client=client: client, host, int(port))  # type: ignore[misc]
            await asyncio.sleep(0.01)
        with contextlib.suppress(ProtocolError):  # the connection allows no new stream now
            client.send_request(f"t{number}", "/a", b"bid" if number % 3 == 0 else b"")
        await asyncio.sleep(0.003)
    await asyncio.sleep(1.0)
    received_hash.update(client.received_data)
    return {
        "said": received_hash.hexdigest(),
        "met": fault_script.fault_counts,
        "shed": fault_script.shed_tickets,
        "ran": http2_server.process_counts(),
        "connections": http2_server.connections,
        "resets": http2_server.resets_received,
    }


def servers() -> dict[str, Any]:
    return {work.__name__: run_virtually(1, work)[0] for work in (http1_bytes, http2_bytes, broken_bytes)}


CAPTURES: dict[str, Callable[[Path], Any]] = {
    "ready": lambda folder: run_all_scenario_files(), "commands": commands,
    "findings": lambda folder: findings(), "drawn": lambda folder: generated_scenarios(),
    "schedules": schedules,
    "paths": lambda folder: paths(), "fleet": fleet_options, "servers": lambda folder: servers(),
}  # fmt: skip


@pytest.mark.parametrize("part", CAPTURES)
def test_files_commands_and_runs_are_as_recorded(part: str, tmp_path: Path) -> None:
    golden = json.loads((GOLDEN / "rehearsal.json").read_text(encoding="utf-8"))
    now = json.loads(json.dumps(CAPTURES[part](tmp_path)))
    assert now == golden[part]

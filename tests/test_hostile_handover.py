"""Writes that come again at the other process of a handover of an inherited listener."""

import asyncio
import json
import os
import signal
import socket
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from gladewalk.core.counters import Counters
from gladewalk.core.exchange import ClientRequest
from gladewalk.core.shared_executions import SharedExecutions
from gladewalk.interface import Idempotency, RequestClass
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import SETTINGS, config_for
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

from .program import DirectorProgram, start_program

WORK_S = 1.0
WRITE = encode_request("/invoke/bid/b1?nth=0", "PUT", 3_000.0, b"bid", trace="00000000000000ab")


async def send_to(address: tuple[str, int], reached: DirectorProgram, other: DirectorProgram) -> Any:
    """Sends the write on a new connection that `reached` accepts, as `other` does not run meanwhile."""
    other.send(signal.SIGSTOP)
    await asyncio.sleep(0.1)
    reader, writer = await asyncio.open_connection(*address)
    writer.write(WRITE)
    await asyncio.sleep(0.2)
    other.send(signal.SIGCONT)
    return reader, writer


async def play(leaves: bool, first_comes_to: int, tmp_path: Path) -> tuple[int, list[int]]:
    """Sends a write to one process and then to the other; returns how often it ran and the statuses."""
    runs: Counter[str] = Counter()

    async def run(request: ReceivedRequest) -> None:
        if request.method == "PUT":
            runs[request.headers["x-ticket"]] += 1
            await asyncio.sleep(WORK_S)
        await request.respond(200, b"taken")

    servers = [ScriptedServer(run, uid="c0"), ScriptedServer(run, uid="o", model="origin", zone="north")]
    for server in servers:
        await server.start()
    coordinator = await Coordinator().start()
    config_file = tmp_path / "node.json"
    config_file.write_text(json.dumps(config_for(servers, coordinator, SETTINGS)))
    with socket.create_server(("127.0.0.1", 0)) as listener:
        environ = {**os.environ, "TMPDIR": str(tmp_path)}
        programs = []
        for _ in range(2):
            program = await start_program(config_file, listener_fd=listener.fileno(), environ=environ)
            await program.event("serving")
            programs.append(program)
        reached, other = programs[first_comes_to], programs[1 - first_comes_to]
        first = await send_to(listener.getsockname(), reached, other)
        if leaves:
            first[1].close()
            await asyncio.sleep(0.05)
        second = await send_to(listener.getsockname(), other, reached)
        readers = [second[0]] if leaves else [first[0], second[0]]
        statuses = [(await read_message(reader)).status for reader in readers]
        for program in programs:
            program.send(signal.SIGKILL)
            await program.finish()
    coordinator.stop()
    return sum(runs.values()), statuses


@pytest.mark.parametrize("first_comes_to", [0, 1])
@pytest.mark.parametrize("leaves", [True, False])
def test_a_write_that_comes_again_at_the_other_process_runs_once(
    leaves: bool, first_comes_to: int, tmp_path: Path
) -> None:
    run_count, statuses = asyncio.run(play(leaves, first_comes_to, tmp_path))
    assert run_count == 1
    assert not {429, 503} & set(statuses)
    assert leaves or 200 in statuses


# What the processes share.


def request_class(idempotency: Idempotency) -> RequestClass:
    return RequestClass("c", 100.0, 1_000.0, idempotency=idempotency, deduplication_window_ms=500.0)


def client_request(**fields: Any) -> ClientRequest:
    return ClientRequest(**{**REQUEST, **fields})


REQUEST: dict[str, Any] = {
    "trace_id": "ab", "method": "PUT", "class_name": "c", "object_name": "1", "key": 1, "part": 0,
    "max_wait_ms": 1_000.0,
}  # fmt: skip
ONCE, KEYED = request_class(Idempotency.NON_IDEMPOTENT), request_class(Idempotency.KEYED)


class TwoProcesses:
    """The shares of two processes in one folder, with one clock."""

    def __init__(self, folder: Path) -> None:
        self.now_ms = 0.0
        self.counters = Counters()
        self.shares = [SharedExecutions(folder, self.counters, lambda: self.now_ms) for _ in range(2)]


def test_of_two_processes_one_may_send_a_write_and_the_other_knows_when_and_where(tmp_path: Path) -> None:
    both = TwoProcesses(tmp_path)
    request = client_request()
    assert both.shares[0].claim(request, ONCE, "c 1")
    both.now_ms = 30.0
    assert not both.shares[1].claim(request, ONCE, "c 2")
    found = both.shares[1].find(request, ONCE)
    assert found is not None and (found.age_ms, found.server) == (30.0, "c 1")
    assert both.shares[0].find(request, ONCE) is None  # its own memory knows


def test_a_write_that_did_not_run_may_be_sent_by_the_other_process(tmp_path: Path) -> None:
    both = TwoProcesses(tmp_path)
    both.shares[0].claim(client_request(), ONCE, "c1")
    both.shares[0].withdraw(client_request(), ONCE)
    assert both.shares[1].find(client_request(), ONCE) is None
    assert both.shares[1].claim(client_request(), ONCE, "c1")


def test_the_first_send_of_a_key_is_known_to_the_other_process_and_kept(tmp_path: Path) -> None:
    both = TwoProcesses(tmp_path)
    request = client_request(idempotency_key="k")
    both.shares[0].claim(request, KEYED, "c1")
    both.shares[0].withdraw(request, KEYED)
    both.now_ms = 400.0
    assert both.shares[1].claim(request, KEYED, "c1")
    found = both.shares[1].find(request, KEYED)
    assert found is not None and found.age_ms == 400.0


def test_names_expire_and_those_of_an_ended_process_are_removed(tmp_path: Path) -> None:
    both = TwoProcesses(tmp_path)
    both.shares[0].claim(client_request(), ONCE, "c1")
    both.now_ms = 60_000.0
    assert both.shares[1].find(client_request(), ONCE) is None
    assert both.shares[1].claim(client_request(trace_id="cd"), ONCE, "c1")
    assert len(list(tmp_path.iterdir())) == 1


def test_a_folder_that_can_not_be_used_is_counted_and_writes_go_on(tmp_path: Path) -> None:
    both = TwoProcesses(tmp_path / "missing" / "folder")
    assert both.shares[0].claim(client_request(), ONCE, "c1")
    assert both.counters["executions.share_failed"] == 3


def test_requests_that_may_be_repeated_leave_no_name(tmp_path: Path) -> None:
    both = TwoProcesses(tmp_path)
    assert both.shares[0].claim(client_request(), request_class(Idempotency.IDEMPOTENT), "c1")
    assert both.shares[0].claim(client_request(), None, "c1")
    assert not list(tmp_path.iterdir())

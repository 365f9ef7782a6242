"""A stop with hundreds of open requests: each gets its final answer before the platform's SIGKILL."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from pathlib import Path

from gladewalk.core.final_deadlines import FinalDeadlines
from gladewalk.core.readiness import MAX_SIGKILL_DELAY_MS, SHUTDOWN_ACCEPT_MS
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for, wait_until
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ScriptedServer

from .program import start_program
from .server_scripts import never_respond

CLIENTS = 330  # as many as a third of the descriptors allows
SOCKETS = 1_024
WAIT_MS = 30_000.0  # past the SIGKILL


def test_deadlines_of_a_stop_are_spread_and_shorter_ones_stay() -> None:
    deadlines = FinalDeadlines()
    assert deadlines.limit(9_000.0) == 9_000.0  # before a stop
    deadlines.latest_ms = 5_000.0
    limited = [deadlines.limit(at_ms) for at_ms in (9_000.0, 8_000.0, 100.0, 7_000.0)]
    assert limited == [5_000.0, 4_999.0, 100.0, 4_998.0]


async def count_answers_before_kill(file: Path) -> int:
    """Stops a director with hanging requests as the platform does; returns how many got an answer."""
    caches = [
        await ScriptedServer(never_respond, f"c{number}", capacity=4_000.0).start() for number in range(3)
    ]
    coordinator = await Coordinator().start()
    config = config_for(caches, coordinator)
    file.write_text(json.dumps({**config, "limits": {**config["limits"], "sockets": SOCKETS}}))
    program = await start_program(file)
    address = (await program.event("serving"))["listen"]
    clients = [await asyncio.open_connection(*address) for _ in range(CLIENTS)]
    for number, (_, writer) in enumerate(clients):
        path = f"/invoke/lot-video/{number:x}?nth=0"
        writer.write(encode_request(path, trace=f"{number:016x}", wait_ms=WAIT_MS))
    await wait_until(lambda: sum(len(cache.received) for cache in caches) > CLIENTS // 2)
    program.send(signal.SIGTERM)
    kill_at = time.monotonic() + (SHUTDOWN_ACCEPT_MS + MAX_SIGKILL_DELAY_MS) / 1000.0
    asyncio.get_running_loop().call_later(kill_at - time.monotonic(), program.process.kill)
    answers = await asyncio.gather(*(read_message(reader) for reader, _ in clients), return_exceptions=True)
    await program.process.wait()
    for _, writer in clients:
        writer.close()
    for cache in caches:
        cache.stop()
    coordinator.stop()
    return sum(not isinstance(answer, BaseException) for answer in answers)


def test_hundreds_of_requests_due_at_a_stop_are_answered_before_the_sigkill(tmp_path: Path) -> None:
    # Guards against answers that are all written in one pass and sent after the process has been killed.
    assert asyncio.run(count_answers_before_kill(tmp_path / "config.json")) == CLIENTS

"""Real processes whose system calls fail below uvloop: each documented error of each call is a case."""

import asyncio
import json
import signal
from dataclasses import dataclass
from pathlib import Path

import pytest

from gladewalk.faultnet.syscall_faults import (
    ERRORS_BY_KIND,
    FaultKind,
    FaultSchedule,
    SyscallFault,
    build_library,
    present_epoch_ns,
)
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

from .program import DirectorProgram, start_program
from .server_scripts import BYTES
from .test_whole_answers import ClientResponse, fetch_response

SOCKET_KINDS = (
    FaultKind.ACCEPT, FaultKind.SOCKET, FaultKind.CONNECT, FaultKind.WAIT, FaultKind.READ, FaultKind.WRITE,
)  # fmt: skip
CASES = [(kind, number) for kind in SOCKET_KINDS for number in ERRORS_BY_KIND[kind]]
CASES += [(FaultKind.READ_SHORT, 0), (FaultKind.WRITE_SHORT, 0)]
FAULT_BEGINS_MS, FAULT_ENDS_MS = 1_500, 2_300
WAIT_MS = 2_000.0
PERCENT = 60
CLIENTS = 6
HOUR_MS = 3_600_000
LEAD_S = 0.2  # clients begin to ask so long before the faults
START_DELAYS_S = (0.0, 3.0, 10.0, 30.0)  # of the faults, each tried where the one before was too short


@pytest.fixture(scope="session")
def library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The fault library; a machine without a compiler fails here, with one line that says so."""
    return build_library(tmp_path_factory.mktemp("faults"))


@dataclass
class Outcome:
    """What clients got while calls failed and after it, and what was injected."""

    during: list[ClientResponse]
    after: list[ClientResponse]
    injected: list[str]
    exit_code: int | None


async def hit_and_close(request: ReceivedRequest) -> None:
    """Answers, and has the director open a new connection for the next request."""
    await request.respond(200, BYTES, X_Remark="mem", Connection="close")


async def start_before_faults(
    folder: Path, library: Path, faults: tuple[SyscallFault, ...], config_file: Path
) -> tuple[DirectorProgram, FaultSchedule, tuple[str, int]]:
    """Starts a director that serves before its faults begin, however long its start takes on this machine."""
    for delay_s in START_DELAYS_S:
        epoch_ns = present_epoch_ns() + round(delay_s * 1e9)
        schedule = FaultSchedule(folder, "director", 7, faults, epoch_ns)
        schedule.log_file.unlink(missing_ok=True)
        director = await start_program(config_file, environ=schedule.environment(library))
        host, port = (await director.event("serving"))["listen"]
        begins_s = epoch_ns / 1e9 + FAULT_BEGINS_MS / 1_000.0
        if asyncio.get_running_loop().time() < begins_s - LEAD_S:
            return director, schedule, (host, port)
        await director.stop()
    raise TimeoutError(f"a director does not serve within {START_DELAYS_S[-1]:g} s")


async def play(folder: Path, library: Path, faults: tuple[SyscallFault, ...]) -> Outcome:
    """Six clients ask a director one request after another, on new connections, through the faults."""
    coordinator = await Coordinator().start()
    servers = [
        await ScriptedServer(hit_and_close).start(),
        await ScriptedServer(hit_and_close, "c2").start(),
        await ScriptedServer(hit_and_close, "o", "origin", "north").start(),
    ]
    config_file = folder / "director.json"
    config_file.write_text(json.dumps(config_for(servers, coordinator)), encoding="utf-8")
    director, schedule, address = await start_before_faults(folder, library, faults, config_file)
    loop = asyncio.get_running_loop()
    begins_s = schedule.epoch_ns / 1e9 + FAULT_BEGINS_MS / 1_000.0
    ends_s = schedule.epoch_ns / 1e9 + FAULT_ENDS_MS / 1_000.0
    await asyncio.sleep(max(0.0, begins_s - loop.time() - LEAD_S))

    async def client() -> list[ClientResponse]:
        answers = []
        while loop.time() < ends_s:
            answers.append(await fetch_response(address, WAIT_MS))
            await asyncio.sleep(0.01)
        return answers

    during = [
        answer for answers in await asyncio.gather(*(client() for _ in range(CLIENTS))) for answer in answers
    ]
    await asyncio.sleep(0.5)  # what was ejected for a fault comes back
    after = [await fetch_response(address, WAIT_MS) for _ in range(3)]
    director.send(signal.SIGTERM)
    exit_code, _ = await director.finish()
    coordinator.stop()
    for server in servers:
        server.stop()
    return Outcome(during, after, schedule.injected(), exit_code)


@pytest.mark.parametrize(("kind", "number"), CASES, ids=[f"{kind.value}-{number}" for kind, number in CASES])
def test_every_request_gets_a_whole_answer_while_a_call_fails(
    kind: FaultKind, number: int, library: Path, tmp_path: Path
) -> None:
    fault = SyscallFault(FAULT_BEGINS_MS, FAULT_ENDS_MS, kind, number, PERCENT)
    outcome = asyncio.run(play(tmp_path, library, (fault,)))
    assert outcome.injected, "the fault did not reach the process"
    assert outcome.during
    assert all(answer.is_complete and answer.status in (200, 502, 503) for answer in outcome.during)
    assert all(answer.body == (BYTES if answer.status == 200 else b"") for answer in outcome.during)
    assert [answer.status for answer in outcome.after] == [200] * 3
    assert outcome.exit_code == 0


@pytest.mark.parametrize("step_ms", [HOUR_MS, -HOUR_MS, 4_000, -4_000])
def test_a_step_of_the_wall_clock_of_a_process_costs_no_answer(
    step_ms: int, library: Path, tmp_path: Path
) -> None:
    step = SyscallFault(FAULT_BEGINS_MS, 600_000, FaultKind.CLOCK_STEP, step_ms)
    outcome = asyncio.run(play(tmp_path, library, (step,)))
    answers = outcome.during + outcome.after
    assert [(answer.is_complete, answer.status) for answer in answers] == [(True, 200)] * len(answers)
    assert outcome.exit_code == 0


@pytest.mark.parametrize("step_ms", [HOUR_MS, -HOUR_MS])
def test_a_stop_within_a_step_ends_in_time(step_ms: int, library: Path, tmp_path: Path) -> None:
    """A cache that hangs through the shutdown, and a clock that is stepped within it."""

    async def hang(request: ReceivedRequest) -> None:
        await asyncio.Event().wait()

    async def story() -> tuple[ClientResponse, int | None, float]:
        coordinator, cache = await Coordinator().start(), await ScriptedServer(hang).start()
        config_file = tmp_path / "director.json"
        config_file.write_text(json.dumps(config_for([cache], coordinator)), encoding="utf-8")
        step = SyscallFault(1_500, 600_000, FaultKind.CLOCK_STEP, step_ms)
        schedule = FaultSchedule(tmp_path, "director", 7, (step,), present_epoch_ns())
        director: DirectorProgram = await start_program(config_file, environ=schedule.environment(library))
        address = tuple((await director.event("serving"))["listen"])
        loop = asyncio.get_running_loop()
        open_request = asyncio.ensure_future(fetch_response(address, 3_000.0))
        await asyncio.sleep(max(0.0, schedule.epoch_ns / 1e9 + 1.3 - loop.time()))
        director.send(signal.SIGTERM)
        stopped_s = loop.time()
        answer = await open_request
        exit_code, _ = await director.finish()
        coordinator.stop()
        cache.stop()
        return answer, exit_code, loop.time() - stopped_s

    answer, exit_code, took_s = asyncio.run(story())
    assert (answer.is_complete, exit_code) == (True, 0)
    assert took_s < 3.7  # SIGKILL comes no sooner

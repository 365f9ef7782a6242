"""Real processes whose system calls fail below uvloop, with a case for each documented error of each call."""

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
    current_epoch_ns,
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
LEAD_S = 0.2  # clients start to send requests this long before the faults begin
# Delays of the faults: each is tried if the director did not start in time with the one before.
START_DELAYS_S = (0.0, 3.0, 10.0, 30.0)


@pytest.fixture(scope="session")
def library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The fault library; without a compiler this fixture fails with an error that says so."""
    return build_library(tmp_path_factory.mktemp("faults"))


@dataclass
class Outcome:
    """The responses during and after the faults, and the injected faults."""

    during: list[ClientResponse]
    after: list[ClientResponse]
    injected: list[str]
    exit_code: int | None


async def hit_and_close(request: ReceivedRequest) -> None:
    """Responds and closes, so that the director has to open a new connection for the next request."""
    await request.respond(200, BYTES, X_Remark="mem", Connection="close")


async def start_before_faults(
    folder: Path, library: Path, faults: tuple[SyscallFault, ...], config_file: Path
) -> tuple[DirectorProgram, FaultSchedule, tuple[str, int]]:
    """Starts a director whose faults begin only after it serves, however slow the machine is."""
    for delay_s in START_DELAYS_S:
        epoch_ns = current_epoch_ns() + round(delay_s * 1e9)
        schedule = FaultSchedule(folder, "director", 7, faults, epoch_ns)
        schedule.log_file.unlink(missing_ok=True)
        director = await start_program(config_file, environ=schedule.environment(library))
        host, port = (await director.event("serving"))["listen"]
        fault_begin_s = epoch_ns / 1e9 + FAULT_BEGINS_MS / 1_000.0
        if asyncio.get_running_loop().time() < fault_begin_s - LEAD_S:
            return director, schedule, (host, port)
        await director.stop()
    raise TimeoutError(f"the director does not serve within {START_DELAYS_S[-1]:g} s")


async def run_requests(folder: Path, library: Path, faults: tuple[SyscallFault, ...]) -> Outcome:
    """Six clients each send requests one after another, on new connections, before and during the faults."""
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
    fault_begin_s = schedule.epoch_ns / 1e9 + FAULT_BEGINS_MS / 1_000.0
    fault_end_s = schedule.epoch_ns / 1e9 + FAULT_ENDS_MS / 1_000.0
    await asyncio.sleep(max(0.0, fault_begin_s - loop.time() - LEAD_S))

    async def client() -> list[ClientResponse]:
        responses = []
        while loop.time() < fault_end_s:
            responses.append(await fetch_response(address, WAIT_MS))
            await asyncio.sleep(0.01)
        return responses

    during = [
        response
        for responses in await asyncio.gather(*(client() for _ in range(CLIENTS)))
        for response in responses
    ]
    await asyncio.sleep(0.5)  # until servers that were ejected because of a fault are used again
    after = [await fetch_response(address, WAIT_MS) for _ in range(3)]
    director.send(signal.SIGTERM)
    exit_code, _ = await director.finish()
    coordinator.stop()
    for server in servers:
        server.stop()
    return Outcome(during, after, schedule.injected_faults(), exit_code)


@pytest.mark.parametrize(("kind", "number"), CASES, ids=[f"{kind.value}-{number}" for kind, number in CASES])
def test_every_request_gets_a_complete_response_while_a_call_fails(
    kind: FaultKind, number: int, library: Path, tmp_path: Path
) -> None:
    fault = SyscallFault(FAULT_BEGINS_MS, FAULT_ENDS_MS, kind, number, PERCENT)
    outcome = asyncio.run(run_requests(tmp_path, library, (fault,)))
    assert outcome.injected, "no fault was injected into the process"
    assert outcome.during
    assert all(response.is_complete and response.status in (200, 502, 503) for response in outcome.during)
    assert all(response.body == (BYTES if response.status == 200 else b"") for response in outcome.during)
    assert [response.status for response in outcome.after] == [200] * 3
    assert outcome.exit_code == 0


@pytest.mark.parametrize("step_ms", [HOUR_MS, -HOUR_MS, 4_000, -4_000])
def test_a_step_of_the_wall_clock_of_a_process_loses_no_response(
    step_ms: int, library: Path, tmp_path: Path
) -> None:
    step = SyscallFault(FAULT_BEGINS_MS, 600_000, FaultKind.CLOCK_STEP, step_ms)
    outcome = asyncio.run(run_requests(tmp_path, library, (step,)))
    responses = outcome.during + outcome.after
    assert [(response.is_complete, response.status) for response in responses] == [(True, 200)] * len(
        responses
    )
    assert outcome.exit_code == 0


@pytest.mark.parametrize("step_ms", [HOUR_MS, -HOUR_MS])
def test_a_shutdown_during_a_clock_step_ends_in_time(step_ms: int, library: Path, tmp_path: Path) -> None:
    """The wall clock is stepped while a director shuts down, and a cache hangs meanwhile."""

    async def hang(request: ReceivedRequest) -> None:
        await asyncio.Event().wait()

    async def scenario() -> tuple[ClientResponse, int | None, float]:
        coordinator, cache = await Coordinator().start(), await ScriptedServer(hang).start()
        config_file = tmp_path / "director.json"
        config_file.write_text(json.dumps(config_for([cache], coordinator)), encoding="utf-8")
        step = SyscallFault(1_500, 600_000, FaultKind.CLOCK_STEP, step_ms)
        schedule = FaultSchedule(tmp_path, "director", 7, (step,), current_epoch_ns())
        director: DirectorProgram = await start_program(config_file, environ=schedule.environment(library))
        address = tuple((await director.event("serving"))["listen"])
        loop = asyncio.get_running_loop()
        open_request = asyncio.ensure_future(fetch_response(address, 3_000.0))
        await asyncio.sleep(max(0.0, schedule.epoch_ns / 1e9 + 1.3 - loop.time()))
        director.send(signal.SIGTERM)
        stopped_s = loop.time()
        response = await open_request
        exit_code, _ = await director.finish()
        coordinator.stop()
        cache.stop()
        return response, exit_code, loop.time() - stopped_s

    response, exit_code, stop_duration_s = asyncio.run(scenario())
    assert (response.is_complete, exit_code) == (True, 0)
    assert stop_duration_s < 3.7  # the time after which SIGKILL may be sent

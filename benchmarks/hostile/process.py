"""A director as a process under the platform's limits, with stand-in servers and a stand-in coordinator."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import tempfile
from collections.abc import AsyncIterator, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import SETTINGS, config_for, wait_until
from gladewalk.rehearsal.http_messages import encode_request, parse_status, read_message
from gladewalk.rehearsal.scripted_servers import StandInServer

BYTES_PER_MB = 1_000_000
KB_PER_MB = 1_000
MEMORY_CHECK_INTERVAL_S = 0.02
HEARTBEAT_INTERVAL_S = 1.0


class DirectorStartError(Exception):
    """The director ended before it served; the text is what it wrote."""


def peak_memory_mb(pid: int) -> float:
    """Returns the peak resident memory of a process in MB (`VmHWM`, proc(5)); 0.0 for one that has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / KB_PER_MB
    return 0.0


def folder_bytes(folder: Path) -> int:
    """Returns the size of the files in a folder, which count as memory on the platform."""
    return sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())


@dataclass(slots=True, eq=False)
class DirectorUnderLimits:
    """A running director; it is killed once its memory is over its limit, as the platform does.

    Attributes:
        address: Where it listens for clients.
        memory_limit_mb: Its limit, of which files in its `TMPDIR` are a part.
        coordinator: The stand-in coordinator, which it follows unless another address was given.
        peak_mb: The most memory that was seen.
        was_over_limit: Whether it was killed for its memory.
        log: The events that it has logged since its start.
    """

    process: asyncio.subprocess.Process
    address: tuple[str, int]
    memory_limit_mb: float
    temporary_folder: Path
    coordinator: Coordinator
    peak_mb: float = 0.0
    was_over_limit: bool = False
    log: list[dict[str, Any]] = field(default_factory=list)

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended, by itself or killed."""
        return self.process.returncode is not None

    def check_memory(self) -> None:
        """Records the peak memory, and kills the process if it is over the limit."""
        files_mb = folder_bytes(self.temporary_folder) / BYTES_PER_MB
        self.peak_mb = max(self.peak_mb, peak_memory_mb(self.process.pid) + files_mb)
        if self.peak_mb > self.memory_limit_mb and not self.has_ended:
            self.was_over_limit = True
            self.process.kill()

    async def watch_memory(self) -> None:
        """Checks the memory until the task is cancelled."""
        while not self.has_ended:
            self.check_memory()
            await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)

    async def read_log(self) -> None:
        """Collects the log until it ends."""
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            with contextlib.suppress(ValueError):
                self.log.append(json.loads(line))

    async def counters(self) -> dict[str, Any]:
        """Returns the counters and gauges, which the process logs on SIGUSR1."""
        self.log = [event for event in self.log if event["event"] != "counters"]
        self.process.send_signal(10)
        await wait_until(lambda: any(event["event"] == "counters" for event in self.log))
        return next(event for event in self.log if event["event"] == "counters")

    async def request(self, path: str, **fields: Any) -> tuple[int, bytes]:
        """Sends one request on a connection of its own; returns the status and the body."""
        reader, writer = await asyncio.open_connection(*self.address)
        try:
            writer.write(encode_request(path, **fields))
            status_line, _, body = await read_message(reader)
            return parse_status(status_line), body
        finally:
            writer.close()


async def _send_heartbeats(coordinator: Coordinator) -> None:
    while True:
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        coordinator.send_raw(b"%d\n" % len(coordinator.events))


@contextlib.asynccontextmanager
async def director_under_limits(
    servers: Sequence[StandInServer[Any]],
    memory_mb: float,
    descriptors: int,
    coordinator_address: str = "",
    settings: Mapping[str, Any] = SETTINGS,
    broken: str = "",
) -> AsyncIterator[DirectorUnderLimits]:
    """Starts the servers, a coordinator and a director with these limits; ends them all at the end.

    With `coordinator_address` the director follows that coordinator; `broken` names a broken director.

    Raises:
        DirectorStartError: The director ended before it served.
    """
    coordinator = await Coordinator().start()
    for server in servers:
        if not server.address:  # else it is a process of its own
            await server.start()
    tasks = [asyncio.create_task(_send_heartbeats(coordinator))]
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        config = {
            **config_for(servers, coordinator, settings),
            "limits": {"sockets": descriptors, "memory_mb": memory_mb},
            "coordinator": coordinator_address or coordinator.address,
        }
        (folder / "node.json").write_text(json.dumps(config))
        temporary_folder = folder / "tmp"
        temporary_folder.mkdir()
        environ = {
            **os.environ,
            "NODE_CONFIG": str(folder / "node.json"),
            "TMPDIR": str(temporary_folder),
        }
        module = ["benchmarks.hostile.broken_director", broken] if broken else ["gladewalk"]
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *module, env=environ, stderr=asyncio.subprocess.PIPE
        )
        try:
            address = await _listen_address(process)
            director = DirectorUnderLimits(process, address, memory_mb, temporary_folder, coordinator)
            tasks.append(asyncio.create_task(director.watch_memory()))
            tasks.append(asyncio.create_task(director.read_log()))
            yield director
            director.check_memory()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            if process.returncode is None:
                process.kill()
            await process.wait()
            coordinator.stop()
            for server in servers:
                server.stop()


async def _listen_address(process: asyncio.subprocess.Process) -> tuple[str, int]:
    """Reads the log up to the line that the director serves; returns where it listens."""
    assert process.stderr is not None
    said = ""
    while line := await process.stderr.readline():
        said = line.decode(errors="replace")
        with contextlib.suppress(ValueError):
            event = json.loads(said)
            if event["event"] == "serving":
                return event["listen"][0], event["listen"][1]
    raise DirectorStartError(said.strip())

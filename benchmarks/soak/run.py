"""Runs one plan: servers, a coordinator, directors as processes, clients, and faults at their times."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import tempfile
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from benchmarks.hostile.forms import CROWDS, ClientInput
from benchmarks.hostile.process import MEMORY_CHECK_INTERVAL_S, peak_memory_mb
from gladewalk.faultnet.syscall_faults import build_library

from .clients import Client
from .coordinator import SoakCoordinator
from .directors import DirectorProcess
from .history import BurstRecord, DrainRecord, History, PurgeRecord, StopRecord
from .plan import SERVER_FAULTS, FaultName, Plan, PlannedFault
from .scheduling import SchedulingMonitor, SoakLoop
from .servers import MAX_PURGE_DELAY_S, Origin, SoakServer

NOTIFIED_S, MAX_NOTIFIED_S = 0.3, 7.0  # after publication; the second if the feed or system calls fail
DRAIN_TO_DELETED_S = 2.5
QUIET_S = 0.6  # from the end of the last client until the check for leaks
BURST_CONNECTIONS = 150
HOSTILE_ID = 900_000  # ids of hostile clients begin here; their classes do not exist in the soak
BURST_AFTERMATH_S = 2.5
HOT_OBJECTS = 6
MIN_CACHES = 2


class SoakRun:
    """One run; `execute` returns its history."""

    def __init__(self, plan: Plan, folder: Path, broken: str = "") -> None:
        self.plan, self.folder, self.broken = plan, folder, broken
        self.rng = random.Random(plan.seed ^ 0x50AC)
        self.history = History()
        self.origin, self.coordinator = Origin(), SoakCoordinator()
        self.servers: dict[str, SoakServer] = {}
        self.directors: list[DirectorProcess] = []
        self.begin_s = 0.0
        self.tasks: set[asyncio.Task[None]] = set()

    async def execute(self) -> History:
        """Runs the plan and stops everything that it started."""
        monitor = SchedulingMonitor(self._process_ids)
        monitor.start()
        try:
            await self._start()
            await self._run_clients()
            await asyncio.sleep(QUIET_S)
            for director in self.directors:
                self.history.note(time.monotonic(), f"{director.name}: check for leaks")
                await director.check_quiet()
            await asyncio.gather(*(self._stop(director) for director in self.directors))
        finally:
            monitor.finish()
            self.history.waits = monitor.waits
            for task in self.tasks:
                task.cancel()
            await self._end_processes()
            self.coordinator.close()
            for server in self.servers.values():
                server.go_down()
        return self.history

    def _process_ids(self) -> dict[str, int]:
        """Returns the process ids of the running directors by name."""
        processes = {director.name: director.process for director in self.directors}
        return {
            name: process.pid
            for name, process in processes.items()
            if process is not None and process.returncode is None
        }

    async def _start(self) -> None:
        names = [("standard", f"s-{number}") for number in range(self.plan.cache_count)]
        for role, name in [*names, ("parent", "p-0"), ("origin", "o-0")]:
            self._add_server(name, role)
        for server in self.servers.values():
            await server.listen()
        await self.coordinator.listen()
        self.coordinator.publish_endpoints(
            [server.target() for server in self.servers.values()], is_complete=True
        )
        library = build_library(self.folder) if self.plan.syscalls else None
        epoch_ns = time.monotonic_ns()
        self.directors = [
            DirectorProcess(
                f"n{number}", self.folder, self._config(), self.history,
                self.plan.syscalls.get(number, ()), library, self.plan.seed + number, epoch_ns, self.broken,
            )
            for number in range(self.plan.director_count)
        ]  # fmt: skip
        await asyncio.gather(*(director.start() for director in self.directors))
        self.begin_s = time.monotonic()
        for server in self.servers.values():
            server.begin_s = self.begin_s
        self._assign_server_faults()

    def _config(self) -> dict[str, object]:
        return {
            "listen": "127.0.0.1:0",
            "seed": "1f",
            "limits": {"sockets": self.plan.limits.sockets, "memory_mb": self.plan.limits.memory_mb},
            "coordinator": f"127.0.0.1:{self.coordinator.port}",
            "settings": self.plan.settings,
            "known": self.coordinator.known(),
        }

    def _add_server(self, name: str, role: str) -> SoakServer:
        server = SoakServer(name, role, self.origin, self.history, random.Random(f"{self.plan.seed} {name}"))
        server.peers, server.begin_s = self.servers, self.begin_s
        self.servers[name] = server
        return server

    def _assign_server_faults(self) -> None:
        ordered = list(self.servers.values())
        for fault in self.plan.faults:
            if fault.name in SERVER_FAULTS:
                ordered[fault.target % len(ordered)].faults.append(fault)

    async def _run_clients(self) -> None:
        end_s = self.begin_s + self.plan.duration_s
        clients = [
            Client(number, self.plan, self.directors, self.history, lambda: time.monotonic() >= end_s)
            for number in range(self.plan.client_count)
        ]
        self._spawn(self._watch_memory())
        faults = {fault: self._spawn(self._inject_fault(fault)) for fault in self.plan.faults}
        await asyncio.gather(*(client.run() for client in clients))
        # The idle connections of a burst count as clients until they are closed.
        bursts = (FaultName.CROWD, FaultName.HOSTILE_CROWD)
        await asyncio.gather(*(task for fault, task in faults.items() if fault.name in bursts))
        for director in self.directors:  # a restart in progress ends before the check for leaks
            pending = [task for task in director.tasks if not task.done()]
            if pending:
                await asyncio.wait(pending)

    def _spawn(self, steps: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(steps)
        self.tasks.add(task)
        return task

    async def _watch_memory(self) -> None:
        """Kills a director whose memory is over its limit, as the platform does; this counts as a crash."""
        while True:
            process_ids = self._process_ids()
            for director in self.directors:
                pid = process_ids.get(director.name)
                if pid is not None and peak_memory_mb(pid) > self.plan.limits.memory_mb:
                    self.history.note(time.monotonic(), f"{director.name} is killed, over its memory limit")
                    self.history.stops.append(StopRecord(director.key, None, None, -signal.SIGKILL))
                    director.send(signal.SIGKILL)
            await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)

    # Faults.

    async def _inject_fault(self, fault: PlannedFault) -> None:
        await asyncio.sleep(max(0.0, self.begin_s + fault.at_s - time.monotonic()))
        self.history.note(time.monotonic(), f"fault: {fault.describe()}")
        match fault.name:
            case FaultName.REFUSE:
                await self._refuse(fault)
            case FaultName.DRAIN:
                await self._drain(fault)
            case FaultName.PURGE:
                await self._purge(fault)
            case FaultName.FEED_CUT:
                self.coordinator.go_down()
                await asyncio.sleep(fault.duration_s)
                await self.coordinator.listen()
            case FaultName.FEED_SILENT:
                self.coordinator.is_unresponsive = True
                await asyncio.sleep(fault.duration_s)
                self.coordinator.is_unresponsive = False
                self.coordinator.go_down()  # followers reconnect and request the events that they missed
                await self.coordinator.listen()
            case FaultName.CROWD:
                await self._open_burst(fault)
            case FaultName.HOSTILE_CROWD:
                forms = list(CROWDS.values())
                await self._open_burst(fault, forms[int(fault.fraction * len(forms))])
            case FaultName.STOP | FaultName.STOP_SERIES | FaultName.RELOADS | FaultName.KILL:
                await self._signal(fault)

    async def _refuse(self, fault: PlannedFault) -> None:
        server = list(self.servers.values())[fault.target % len(self.servers)]
        server.go_down()
        await asyncio.sleep(fault.duration_s)
        if server.state != "DELETED":
            with contextlib.suppress(OSError):
                await server.listen()

    def _notified_s(self) -> float:
        """Returns when each director counts as notified of what is published now."""
        now_s = time.monotonic()
        has_feed_faults = bool(self.plan.syscalls) or any(
            fault.name in (FaultName.FEED_CUT, FaultName.FEED_SILENT) for fault in self.plan.faults
        )
        return now_s + (MAX_NOTIFIED_S if has_feed_faults else NOTIFIED_S)

    async def _drain(self, fault: PlannedFault) -> None:
        caches = [one for one in self.servers.values() if one.role == "standard" and one.state == "SERVING"]
        if len(caches) <= MIN_CACHES:
            return
        old = caches[fault.target % len(caches)]
        old.state = "DRAINING"
        self.coordinator.publish_endpoints([old.target()])
        self.history.drains.append(DrainRecord(old.name, self._notified_s()))
        new = self._add_server(f"{old.name}x", "standard")
        await new.listen()
        new.boot_ms = time.time() * 1000.0
        self.coordinator.publish_endpoints([new.target()])
        await asyncio.sleep(DRAIN_TO_DELETED_S)
        old.state = "DELETED"
        self.coordinator.publish_endpoints([old.target()])
        old.go_down()

    async def _purge(self, fault: PlannedFault) -> None:
        name = f"{1 + fault.target % HOT_OBJECTS:x}"
        version = self.origin.versions[name] = self.origin.versions.get(name, 1) + 1
        self.coordinator.publish(evict={"ref": name, "unix_ms": time.time() * 1000.0})
        self.history.purges.append(PurgeRecord(name, version, self._notified_s()))
        for server in list(self.servers.values()):
            self._spawn(self._forget_purged(server, name))

    async def _forget_purged(self, server: SoakServer, name: str) -> None:
        await asyncio.sleep(self.rng.uniform(0.1, MAX_PURGE_DELAY_S))
        server.forget(name)

    async def _open_burst(self, fault: PlannedFault, client_input: ClientInput | None = None) -> None:
        """Uses up a director's descriptors with connections, idle ones or with some input.

        It takes longer on a slow machine.
        """
        director = self.directors[fault.target % len(self.directors)]
        burst = BurstRecord(director.name, time.monotonic())
        self.history.bursts.append(burst)
        writers = []
        for number in range(BURST_CONNECTIONS):
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                async with asyncio.timeout(0.5):
                    writers.append((await asyncio.open_connection(*director.address))[1])
                    if client_input is not None:
                        writers[-1].write(client_input(HOSTILE_ID + number))
        self.history.note(time.monotonic(), f"burst of {len(writers)} connections to {director.name} is open")
        await asyncio.sleep(fault.duration_s)
        for writer in writers:
            writer.transport.abort()
        burst.until_s = time.monotonic() + BURST_AFTERMATH_S
        self.history.note(time.monotonic(), f"burst of connections to {director.name} is closed")

    async def _signal(self, fault: PlannedFault) -> None:
        director = self.directors[fault.target % len(self.directors)]
        if any(not task.done() for task in director.tasks) or not director.is_admitted:
            return
        if fault.name is FaultName.RELOADS:
            for _ in range(self.rng.randint(2, 5)):
                director.config["known"] = self.coordinator.known()
                director.write_config()
                director.send(signal.SIGHUP)
                await asyncio.sleep(self.rng.choice((0.0, 0.01, 0.1)))
            return
        task = self._spawn(self._restart(director, fault))
        director.tasks.add(task)

    async def _restart(self, director: DirectorProcess, fault: PlannedFault) -> None:
        if fault.name is FaultName.KILL:
            await director.kill()
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))
        elif fault.name is FaultName.STOP_SERIES:
            for number in self.rng.choices((signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1), k=3):
                if number is signal.SIGTERM:
                    break
                director.send(number)
                await asyncio.sleep(self.rng.choice((0.0, 0.005)))
            stop = asyncio.ensure_future(self._stop(director))
            await asyncio.sleep(0.05)
            for number in (signal.SIGHUP, signal.SIGTERM):
                director.send(number)
                await asyncio.sleep(0.05)
            await stop
        else:
            await self._stop(director)
        director.config["known"] = self.coordinator.known()
        await director.start()

    async def _stop(self, director: DirectorProcess) -> None:
        if director.process is not None and director.process.returncode is None:
            await director.stop(self.plan.longest_deadline_s())

    async def _end_processes(self) -> None:
        for director in self.directors:
            if director.process is not None and director.process.returncode is None:
                director.process.kill()
                await director.process.wait()


def run_plan(plan: Plan, keep: Path | None = None, broken: str = "") -> History:
    """Runs a plan in an event loop of its own; `keep` is the folder for logs that are kept."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = keep or Path(temporary)
        os.makedirs(folder, exist_ok=True)
        with asyncio.Runner(loop_factory=SoakLoop) as runner:
            return runner.run(SoakRun(plan, folder, broken).execute())

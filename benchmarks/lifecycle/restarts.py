"""Kills of a director with a store: lists that change meanwhile, coordinators that go on or count anew.

Checked: a cache that drains or is gone gets nothing later than the grace time after the director was told, by
an event or by the start; each cache that serves gets requests, at its present address; a request for a purged
object has the purge's age bound, also after kills; the process does not crash.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import tempfile
import time
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from pathlib import Path
from typing import Any

from gladewalk.control.client import query_director
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import SETTINGS, config_for
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

from .process import LoggedProcess, start_director

GRACE_S = SETTINGS["invariants"]["drain_grace_ms"] / 1000.0 + 0.05  # on sockets limits are 50 ms longer
PURGE_GRACE_S = SETTINGS["specifics"]["obey_after_ms"] / 1000.0 + 0.05
PURGE_SETTLE_S = SETTINGS["specifics"]["purge_settles_ms"] / 1000.0
TAKEN_AFTER_S = 0.5  # a purge that was told for less time before a kill may not have been taken
HEARTBEAT_S = 1.0
CLIENTS, CROWD, READS, OBJECTS = 4, 120, 96, 64
OBJECT_PREFIX = "/o/"  # of requests for objects; others are health checks
MIN_CHANGES, MAX_CHANGES, MAX_PAUSE_S = 3, 7, 0.15  # of the list, while a director runs
RESUME_FRACTION, CROWD_FRACTION, EARLY_KILL_FRACTION = 0.4, 0.3, 0.25


class Start(Enum):
    """Which configuration and coordinator a start has."""

    NEW_COUNT = "new_count"  # a new file, whose coordinator counts anew
    NEW_FILE = "new_file"  # a new file of the same coordinator, with its events so far
    SAME_FILE = "same_file"  # the file of the start before, whose coordinator goes on
    SAME_FILE_NEW_COUNT = "same_file_new_count"  # the file of the start before; the coordinator counts anew


@dataclass(frozen=True, slots=True)
class RestartPlan:
    """One run: its starts, and which of them are killed before they serve."""

    seed: int
    starts: tuple[Start, ...]
    early_kills: frozenset[int]
    resumes_feed: bool
    has_crowd: bool


@dataclass(slots=True)
class CacheModel:
    """A cache: its stand-ins at two addresses, and where and in which state it is listed."""

    uid: str
    homes: tuple[ScriptedServer, ScriptedServer]
    state: str = "SERVING"
    home: int = 0

    def target(self) -> dict[str, Any]:
        """Returns its entry of the endpoint list."""
        return {**self.homes[self.home].target(), "uid": self.uid, "state": self.state}


@dataclass(slots=True)
class Purge:
    """A purge: its wall time, when it was told, and whether it has to outlast the next kill."""

    at_ms: float
    told_s: float
    is_binding: bool = True


@dataclass(slots=True)
class Observed:
    """What the caches got, and the rules that were broken."""

    requests: int = 0
    by_address: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)


def draw_restarts(seed: int) -> RestartPlan:
    """Returns the run of a seed."""
    rng = random.Random(f"restarts {seed}")
    starts = (Start.NEW_COUNT, *(rng.choice(list(Start)) for _ in range(rng.randint(2, 3))))
    early = frozenset(number for number in range(1, len(starts) - 1) if rng.random() < EARLY_KILL_FRACTION)
    return RestartPlan(seed, starts, early, rng.random() < RESUME_FRACTION, rng.random() < CROWD_FRACTION)


class RestartRun:
    """Plays a plan; `observed.violations` has a line for each broken rule."""

    def __init__(self, plan: RestartPlan, folder: Path) -> None:
        self.plan, self.folder, self.observed = plan, folder, Observed()
        self._rng = random.Random(f"restart traffic {plan.seed}")
        self._caches: dict[str, CacheModel] = {}
        self._told_s: dict[str, float] = {}  # by address: since when nothing more may come there
        self._untold: set[str] = set()  # addresses that the director is told of by its next start
        self._purges: dict[str, Purge] = {}
        self._coordinators: list[Coordinator] = []
        self._first_targets: list[dict[str, Any]] = []  # of the file in use
        self._config: dict[str, Any] = {}
        self._origin_target: dict[str, Any] = {}
        self._is_up = False

    async def play(self) -> None:
        """Plays the run and checks it."""
        for number in range(self._rng.randint(3, 5)):
            uid = f"c{number}"
            homes = [await ScriptedServer(self._serve, uid).start() for _ in range(2)]
            self._caches[uid] = CacheModel(uid, (homes[0], homes[1]))
        origin = await ScriptedServer(lambda request: request.respond(200), "o", "origin", "north").start()
        self._origin_target = origin.target()
        resume = str(self.plan.resumes_feed).lower()
        (self.folder / "options.toml").write_text(
            f'[store]\nfolder = "store"\nresume = {resume}\n[control]\nsocket = "control"\n'
        )
        heartbeats = asyncio.create_task(self._send_heartbeats())
        for number, start in enumerate(self.plan.starts):
            await self._prepare_start(start)
            await self._run_director(is_killed_early=number in self.plan.early_kills)
        heartbeats.cancel()
        for cache in self._caches.values():
            for home in cache.homes:
                home.stop()
        origin.stop()
        for coordinator in self._coordinators:
            coordinator.stop()

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for coordinator in self._coordinators[-1:]:
                coordinator.send_raw(b"%d\n" % len(coordinator.events))

    # Starts.

    async def _prepare_start(self, start: Start) -> None:
        """Changes the list while no director runs, and writes the configuration of the next start."""
        if start is Start.SAME_FILE_NEW_COUNT and self._config["known"]["index"] != 1:
            start = Start.NEW_COUNT  # no coordinator that counts anew would have the events of this file
        if start in (Start.NEW_COUNT, Start.SAME_FILE_NEW_COUNT):
            for coordinator in self._coordinators:
                coordinator.stop()
            self._coordinators.append(await Coordinator().start())
        if start is Start.SAME_FILE_NEW_COUNT:
            self._take_back(self._first_targets)
            self._publish(*self._first_targets, is_complete=True)
            self._config["coordinator"] = self._coordinators[-1].address
        # With `resume`, a new count that is past the stored number cannot be told under the same file.
        is_changing = not (start is Start.SAME_FILE_NEW_COUNT and self.plan.resumes_feed)
        changes = self._draw_changes() if self._config and is_changing else []
        if start is Start.NEW_COUNT:
            listed = [cache.target() for cache in self._caches.values() if cache.state != "DELETED"]
            self._first_targets = [*listed, self._origin_target]
            self._publish(*self._first_targets, is_complete=True)
        else:
            for target in changes:
                self._publish(target)
        if start in (Start.NEW_COUNT, Start.NEW_FILE):
            self._write_config()
        else:
            (self.folder / "node.json").write_text(json.dumps(self._config))

    def _write_config(self) -> None:
        """Writes a configuration with the coordinator's events so far, and another seed."""
        raw = config_for([], self._coordinators[-1])
        self._config = json.loads(json.dumps({**raw, "seed": f"{self._rng.getrandbits(64):x}"}))
        (self.folder / "node.json").write_text(json.dumps(self._config))

    def _publish(self, *targets: dict[str, Any], is_complete: bool = False) -> None:
        revision = self._rng.getrandbits(31)
        self._coordinators[-1].publish(
            endpoints={"rev": revision, "all": is_complete, "targets": list(targets)}
        )

    async def _run_director(self, *, is_killed_early: bool) -> None:
        options = str(self.folder / "options.toml")
        director = await start_director(self.folder / "node.json", "--config", options)
        host, port = director.serving["listen"]
        if not is_killed_early:
            await self._use(director, (host, port))
            durable = await self._durable_purges()
            for name, purge in self._purges.items():
                is_taken = time.monotonic() - purge.told_s > TAKEN_AFTER_S
                purge.is_binding &= is_taken and name in durable
        self._is_up = False
        director.process.send_signal(signal.SIGKILL)
        code = await director.finish()
        if code != -signal.SIGKILL or director.has_traceback():
            self.observed.violations.append(f"crash: exit code {code}, or a traceback in the log")

    async def _durable_purges(self) -> set[str]:
        """Returns the objects whose purges the director reports as durable."""
        status = await asyncio.to_thread(query_director, self.folder / "control", "store")
        return {key.partition(":")[2] for key in status["purges"]}

    async def _use(self, director: LoggedProcess, address: tuple[str, int]) -> None:
        """Sends requests, checks that each cache that serves gets some, and changes the list."""
        while not await self._is_ready(address):
            await asyncio.sleep(0.02)
        now_s = time.monotonic()
        self._told_s.update(dict.fromkeys(self._untold, now_s))
        self._untold.clear()
        self._is_up = True
        crowd = [await asyncio.open_connection(*address) for _ in range(CROWD * self.plan.has_crowd)]
        clients = [asyncio.create_task(self._client(number, address)) for number in range(CLIENTS)]
        await self._check_use(address)
        for _ in range(self._rng.randint(MIN_CHANGES, MAX_CHANGES)):
            await self._change(director)
        await self._check_use(address)
        await asyncio.sleep(self._rng.uniform(0.0, 2.0 * TAKEN_AFTER_S))
        for client in clients:
            client.cancel()
        for _, writer in crowd:
            writer.close()

    async def _is_ready(self, address: tuple[str, int]) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(*address)
            with contextlib.closing(writer):
                writer.write(b"GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                return b" 200 " in await reader.readline()
        return False

    # Changes of the list.

    def _draw_changes(self) -> list[dict[str, Any]]:
        """Changes some caches while no director runs; returns their entries."""
        changed = self._rng.sample(sorted(self._caches), self._rng.randint(2, len(self._caches)))
        return [target for uid in changed if (target := self._change_cache(uid)) is not None]

    def _take_back(self, targets: list[dict[str, Any]]) -> None:
        """Makes a list the one in force: the coordinator's count begins with it."""
        listed = {target["uid"]: target for target in targets}
        for cache in self._caches.values():
            target = listed.get(cache.uid)
            state = target["state"] if target is not None else "DELETED"
            home = int(target is not None and target["endpoint"] == cache.homes[1].address)
            self._set(cache, state, home if target is not None else cache.home)

    def _change_cache(self, uid: str) -> dict[str, Any] | None:
        """Draws another state or address of a cache; one cache always serves."""
        cache = self._caches[uid]
        state = self._rng.choice(("SERVING", "DRAINING", "DELETED")) if uid != "c0" else "SERVING"
        home = cache.home ^ (self._rng.random() < 0.3 and state == "SERVING")
        if (state, home) == (cache.state, cache.home):
            return None
        self._set(cache, state, home)
        return cache.target()

    def _set(self, cache: CacheModel, state: str, home: int) -> None:
        cache.state, cache.home = state, home
        for number, server in enumerate(cache.homes):
            if number == home and state == "SERVING":
                self._told_s.pop(server.address, None)
                self._untold.discard(server.address)
            elif server.address not in self._told_s:
                if self._is_up:
                    self._told_s[server.address] = time.monotonic()
                else:
                    self._untold.add(server.address)

    async def _change(self, director: LoggedProcess) -> None:
        """Changes a cache, purges an object, or replaces the file and sends SIGHUP."""
        kind = self._rng.choice(("cache", "cache", "purge", "reload"))
        if kind == "cache":
            target = self._change_cache(self._rng.choice(sorted(self._caches)))
            if target is not None:
                self._publish(target)
        elif kind == "purge":
            name, now_ms = f"{self._rng.randrange(OBJECTS):x}", time.time() * 1000.0
            self._purges[name] = Purge(now_ms, time.monotonic())
            self._coordinators[-1].publish(evict={"ref": name, "unix_ms": now_ms})
        else:
            self._write_config()
            director.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))

    # Traffic.

    async def _serve(self, request: ReceivedRequest) -> None:
        """Checks a request that a cache got, and answers it."""
        if not request.path.startswith(OBJECT_PREFIX):
            return await request.respond()
        now_s, address = time.monotonic(), request.server.address
        self.observed.requests += 1
        self.observed.by_address[address] = self.observed.by_address.get(address, 0) + 1
        told_s = self._told_s.get(address)
        if told_s is not None and now_s > told_s + GRACE_S:
            late_ms = (now_s - told_s) * 1000.0
            self.observed.violations.append(
                f"drain: {request.server.uid} got {request.path}, {late_ms:.0f} ms"
            )
        self._check_purge(request, now_s)
        await request.respond(200, b"copy", X_Remark="mem", Made_At=str(int(time.time() * 1000.0)))

    def _check_purge(self, request: ReceivedRequest, now_s: float) -> None:
        name = request.path.split("/")[3] if request.path.count("/") > 3 else ""
        purge = self._purges.get(name)
        age_s = time.time() - purge.at_ms / 1000.0 if purge is not None else 0.0
        if purge is None or not purge.is_binding or now_s < purge.told_s + PURGE_GRACE_S:
            return
        max_age_ms = float(request.headers.get("no-older-than", "inf"))
        if age_s < PURGE_SETTLE_S and max_age_ms > age_s * 1000.0:
            self.observed.violations.append(f"purge: {request.path} may be from before the purge")

    async def _check_use(self, address: tuple[str, int]) -> None:
        """Reads objects once all changes have been told, and checks that each cache that serves got some."""
        await asyncio.sleep(GRACE_S)
        before = dict(self.observed.by_address)
        reader, writer = await asyncio.open_connection(*address)
        with contextlib.closing(writer):
            for number in range(READS):
                await self._request(reader, writer, f"{self._rng.getrandbits(48):x}", number)
        for cache in self._caches.values():
            here = cache.homes[cache.home].address
            if cache.state == "SERVING" and self.observed.by_address.get(here, 0) == before.get(here, 0):
                self.observed.violations.append(f"unused: {cache.uid} serves and got none of {READS} reads")

    async def _client(self, number: int, address: tuple[str, int]) -> None:
        """Sends requests one after another, on an open connection as long as there is one."""
        rng = random.Random(f"client {self.plan.seed} {number}")
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*address)
                with contextlib.closing(writer):
                    while True:
                        await self._request(
                            reader, writer, f"{rng.randrange(OBJECTS):x}", rng.getrandbits(40)
                        )
                        await asyncio.sleep(rng.uniform(0.0, 0.03))
            await asyncio.sleep(0.02)

    async def _request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str, number: int
    ) -> None:
        trace = f"{(number << 8 | self._rng.getrandbits(8)) & (2**64 - 1):016x}"
        writer.write(encode_request(f"/invoke/lot-page/{name}?nth=0", trace=trace))
        message = await read_message(reader)
        if message.status != HTTPStatus.OK:
            self.observed.violations.append(f"answer: {message.start_line}")


def run_restarts(seed: int) -> Observed:
    """Plays a seed; returns what was observed."""
    with tempfile.TemporaryDirectory() as folder:
        run = RestartRun(draw_restarts(seed), Path(folder))
        asyncio.run(run.play())
    return run.observed

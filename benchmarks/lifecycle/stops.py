"""A stop of the nginx front: signals in series, upstreams in trouble, clients that go on until the SIGKILL.

Checked: each request that a server received has one whole final answer before the SIGKILL, at the earliest
time that the platform allows; no write reaches two servers; the process ends by itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from gladewalk.nginx.table import write_site
from gladewalk.nginx.translate import import_site
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for
from gladewalk.rehearsal.http_messages import read_message
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

from .process import LoggedProcess, start_director

SIGKILL_S = 3.7  # the longest deadline, counted as 3 s, and 0.7 s
LOAD_BEFORE_STOP_S = 0.6
CLIENTS, CROWD = 30, 150
WRITE_FRACTION, CROWD_FRACTION = 0.4, 0.3
BODY = b"page" * 4_000


class Trouble(Enum):
    """What a server does with requests."""

    NONE = "none"
    HANG = "hang"
    HANG_IN_BODY = "hang_in_body"
    LATE = "late"
    RESET = "reset"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class StopPlan:
    """One run: the servers' troubles by upstream, the signals, and whether there is a crowd."""

    seed: int
    troubles: tuple[tuple[Trouble, ...], ...]
    directives: tuple[str, ...]
    signals: tuple[tuple[float, signal.Signals], ...]  # seconds from the first SIGTERM
    has_crowd: bool


@dataclass(slots=True)
class Outcomes:
    """What servers and clients saw, by the numbers of requests."""

    received: Counter[int] = field(default_factory=Counter)
    sent: dict[int, str] = field(default_factory=dict)
    answered: set[int] = field(default_factory=set)


def draw_stop(seed: int) -> StopPlan:
    """Returns the run of a seed."""
    rng = random.Random(f"stop {seed}")
    troubles = tuple(
        tuple(rng.choice(list(Trouble)) for _ in range(rng.randint(1, 3))) for _ in range(rng.randint(1, 3))
    )
    choices = (
        "proxy_read_timeout 30s;",
        "proxy_read_timeout 1s;",
        "proxy_next_upstream off;",
        "error_page 502 504 = /u0/sorry;",
        "",
    )
    directives = tuple(rng.choice(choices) for _ in troubles)
    signals = [(0.0, signal.SIGTERM)]
    signals += [(rng.uniform(-0.4, 1.5), signal.SIGHUP) for _ in range(rng.randint(0, 3))]
    signals += [(rng.uniform(0.0, 3.0), signal.SIGTERM) for _ in range(rng.randint(0, 2))]
    ordered = tuple(sorted(signals))
    return StopPlan(seed, troubles, directives, ordered, rng.random() < CROWD_FRACTION)


class StopRun:
    """Plays a plan; `violations` has a line for each broken rule."""

    def __init__(self, plan: StopPlan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.outcomes = Outcomes()
        self.violations: list[str] = []
        self._rng = random.Random(f"stop traffic {plan.seed}")
        self._servers: list[list[ScriptedServer]] = []
        self._is_over = False
        self._reload_count = 0

    async def play(self) -> None:
        """Plays the run and checks it."""
        for troubles in self.plan.troubles:
            self._servers.append([await self._start_server(trouble) for trouble in troubles])
        coordinator = await Coordinator().start()
        cache = await ScriptedServer(lambda request: request.respond(200)).start()
        (self.folder / "node.json").write_text(json.dumps(config_for([cache], coordinator)))
        self._write_site()
        options = self.folder / "options.toml"
        options.write_text('[front.http]\nsite = "site.toml"\nlisten = { "127.0.0.1:0" = "*:80" }\n')
        director = await start_director(self.folder / "node.json", "--config", str(options))
        host, port = director.serving["web"][0]
        crowd = [await asyncio.open_connection(host, port) for _ in range(CROWD * self.plan.has_crowd)]
        clients = [asyncio.create_task(self._client(number, (host, port))) for number in range(CLIENTS)]
        await asyncio.sleep(LOAD_BEFORE_STOP_S)
        await self._signal(director)
        await asyncio.wait(clients, timeout=1.0)
        for client in clients:
            client.cancel()
        for _, writer in crowd:
            writer.close()
        for server in (cache, *(server for servers in self._servers for server in servers)):
            server.stop()
        coordinator.stop()
        self._check(director)

    async def _start_server(self, trouble: Trouble) -> ScriptedServer:
        async def script(request: ReceivedRequest) -> None:
            name = request.path.rpartition("/")[2]
            if name.isdigit():  # else it is the error page
                self.outcomes.received[int(name)] += 1
            await self._respond(request, trouble)

        return await ScriptedServer(script).start()

    async def _respond(self, request: ReceivedRequest, trouble: Trouble) -> None:
        if trouble in (Trouble.NONE, Trouble.LATE):
            await asyncio.sleep(self._rng.uniform(0.2, 3.0) if trouble is Trouble.LATE else 0.005)
            await request.respond(200, BODY)
        elif trouble is Trouble.RESET:
            request.writer.transport.abort()
        elif trouble is Trouble.ERROR:
            await request.respond(502, b"error")
        else:
            if trouble is Trouble.HANG_IN_BODY:
                request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\nhalf")
            await asyncio.Event().wait()

    def _write_site(self) -> None:
        """Writes the routing table; a reload changes the weights, so that it replaces the upstreams."""
        upstreams, locations = [], []
        for number, servers in enumerate(self._servers):
            rows = " ".join(f"server {server.address} weight={1 + self._reload_count};" for server in servers)
            upstreams.append(f"upstream u{number} {{ {rows} }}")
            directive = self.plan.directives[number]
            locations.append(f"location /u{number}/ {{ proxy_pass http://u{number}; {directive} }}")
        text = "\n".join([*upstreams, "server { listen 80;", *locations, "}"])
        (self.folder / "site.conf").write_text(text)
        (self.folder / "site.toml").write_text(write_site(import_site(str(self.folder / "site.conf"))))

    async def _signal(self, director: LoggedProcess) -> None:
        """Sends the signals of the plan, and SIGKILL at the earliest time."""
        first_s = min(0.0, self.plan.signals[0][0])
        sigterm_s = time.monotonic() - first_s
        for at_s, number in self.plan.signals:
            await asyncio.sleep(max(0.0, sigterm_s + at_s - time.monotonic()))
            if director.process.returncode is not None:
                break
            if number is signal.SIGHUP:
                self._reload_count += 1
                self._write_site()
            director.process.send_signal(number)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, sigterm_s + SIGKILL_S - time.monotonic())):
                await director.process.wait()
        self._is_over = True
        if director.process.returncode is None:
            self.violations.append("end: the director has not ended when SIGKILL comes")
            director.process.kill()
        code = await director.finish()
        if code not in (0, -signal.SIGKILL):
            self.violations.append(f"crash: the director ended with {code}")

    async def _client(self, number: int, address: tuple[str, int]) -> None:
        """Sends requests one after another, on an open connection as long as there is one."""
        rng = random.Random(f"client {self.plan.seed} {number}")
        request_number = number * 1_000_000
        while not self._is_over:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*address)
                with contextlib.closing(writer):
                    while True:
                        request_number += 1
                        await self._request(reader, writer, request_number, rng)
                        await asyncio.sleep(rng.uniform(0.0, 0.1))
            await asyncio.sleep(0.05)

    async def _request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
        rng: random.Random,
    ) -> None:
        method = "POST" if rng.random() < WRITE_FRACTION else "GET"
        upstream = rng.randrange(len(self._servers))
        self.outcomes.sent[number] = method
        body = "Content-Length: 0\r\n" if method == "POST" else ""
        writer.write(f"{method} /u{upstream}/{number} HTTP/1.1\r\nHost: a\r\n{body}\r\n".encode())
        message = await read_message(reader)
        self.outcomes.answered.add(number)  # also if it is read after the SIGKILL: it was sent before
        if message.headers.get("connection") == "close":
            raise ConnectionResetError

    def _check(self, director: LoggedProcess) -> None:
        for number, count in sorted(self.outcomes.received.items()):
            if number not in self.outcomes.answered:
                self.violations.append(f"lost: {self.outcomes.sent[number]} {number} has no final answer")
            if count > 1 and self.outcomes.sent[number] == "POST":
                self.violations.append(f"twice: POST {number} reached servers {count} times")
        if director.has_traceback():
            self.violations.append("crash: the log has a traceback")


def run_stop(seed: int) -> tuple[int, list[str]]:
    """Plays a seed; returns how many requests were answered, and a line for each broken rule."""
    with tempfile.TemporaryDirectory() as folder:
        run = StopRun(draw_stop(seed), Path(folder))
        asyncio.run(run.play())
    return len(run.outcomes.answered), run.violations

"""Stand-in caches, a parent and an origin of the soak: they misbehave by plan and record each attempt."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Any, cast

import httptools

from .history import AttemptRecord, History
from .objects import object_bytes, write_answer
from .plan import FaultName, PlannedFault
from .scheduling import accepted_after_s, came_after_s

HIT_S, FILL_S, WRITE_S = (0.001, 0.012), (0.008, 0.06), (0.004, 0.04)
PURGE_SETTLES_S = 5.0
DOUBLE_DELAYS_S = (0.0, 0.03, 0.08)  # before an answer that a second one follows: connections are then busy
SECOND_ANSWER_S = (0.0, 0.003, 0.01, 0.03, 0.045)  # behind the first answer
MAX_SECOND_ANSWER_S = 0.05
REPEATED_FRACTION = 0.5  # of the second answers repeat the first
# What no client may ever see a byte of; a body of the right length with wrong bytes could not be told.
NOISE = (
    b"\x00\x01noise\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 9\r\n\r\nabcde",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz noise\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx",
)


@dataclass
class Copy:
    """An object's copy: its version and when the origin gave it out."""

    version: int
    made_s: float


class Origin:
    """The versions of all objects; a purge makes a new one."""

    def __init__(self) -> None:
        self.versions: dict[str, int] = {}

    def read(self, object_id: str) -> Copy:
        """Returns the present version of an object's part."""
        return Copy(self.versions.get(object_id.split("/")[0], 1), time.monotonic())


class SoakServer:
    """A cache, a parent or the origin.

    Attributes:
        role: `standard`, `parent` or `origin`, the coordinator's models.
        copies: What a cache or parent holds, by object and part.
        faults: The plan's faults of this server, with the run's begin.
    """

    def __init__(self, name: str, role: str, origin: Origin, history: History, rng: random.Random) -> None:
        self.name, self.role, self.origin, self.history, self.rng = name, role, origin, history, rng
        self.copies: dict[str, Copy] = {}
        self.connections: set[ServerConnection] = set()
        self.faults: list[PlannedFault] = []
        self.begin_s = 0.0
        self.peers: dict[str, SoakServer] = {}
        self.state, self.boot_ms, self.port = "SERVING", 0.0, 0
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listens, at first on a port of the system's choice, later on the same one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: ServerConnection(self), "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def go_down(self) -> None:
        """Stops listening and resets every connection, as a process that dies."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.abort()

    def target(self) -> dict[str, Any]:
        """Returns the server's entry in the coordinator's list."""
        zone = "edge-1" if self.role == "standard" else "north"
        return {
            "uid": self.name, "endpoint": f"127.0.0.1:{self.port}", "az": zone, "model": self.role,
            "pod_group": 0, "state": self.state, "capacity_hint": 16.0, "boot_ms": self.boot_ms,
        }  # fmt: skip

    def drawn_fault(self) -> FaultName | None:
        """Returns the fault that hits an answer now, if any."""
        now_s = time.monotonic() - self.begin_s
        for fault in self.faults:
            is_on = fault.at_s <= now_s < fault.at_s + fault.duration_s
            if is_on and self.rng.random() < fault.fraction:
                return fault.name
        return None

    def find(
        self, object_id: str, max_age_ms: float | None, source: str | None, have_only: bool
    ) -> Copy | None:
        """Returns the copy that answers, filled if it may be; None for a miss."""
        held = self.copies.get(object_id)
        if held is not None and _is_young(held, max_age_ms):
            return held
        if self.role == "origin":
            return self.origin.read(object_id)
        peer = self.peers.get(source or "")
        if peer is None or (have_only and peer.role == "standard" and object_id not in peer.copies):
            return None
        if have_only and (copy := peer.copies.get(object_id)) is not None and _is_young(copy, max_age_ms):
            self.copies[object_id] = copy
        elif have_only:
            return None
        else:
            self.copies[object_id] = self.origin.read(object_id)
        return self.copies[object_id]

    def forget(self, object_name: str) -> None:
        """Drops the copies of an object that was purged."""
        for object_id in [key for key in self.copies if key.split("/")[0] == object_name]:
            del self.copies[object_id]


def _is_young(copy: Copy, max_age_ms: float | None) -> bool:
    return max_age_ms is None or 1000.0 * (time.monotonic() - copy.made_s) <= max_age_ms


class ServerConnection(asyncio.Protocol):
    """One connection of a director."""

    def __init__(self, server: SoakServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.began_s = self.came_after_s = self.accepted_after_s = 0.0
        self.is_first = True  # the request that is read or comes next
        self.url, self.headers = b"", dict[str, str]()
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The director has opened a connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        self.accepted_after_s = accepted_after_s()

    def connection_lost(self, error: Exception | None) -> None:
        """It has ended: an answer under way is given up."""
        self.transport = None
        self.server.connections.discard(self)
        if self.task is not None:
            self.task.cancel()

    def abort(self) -> None:
        """Resets the connection."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parses requests."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.server.history.note(time.monotonic(), f"{self.server.name} cannot read {data[:80]!r}")
            self.abort()

    def on_message_begin(self) -> None:
        """The first byte of a request."""
        self.began_s = time.monotonic()
        self.came_after_s = self.accepted_after_s if self.is_first else came_after_s()
        self.is_first = False
        self.url, self.headers = b"", {}

    def on_url(self, url: bytes) -> None:
        """A piece of the target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A field of the head."""
        self.headers[name.decode().lower()] = value.decode("latin-1")

    def on_message_complete(self) -> None:
        """The request is whole: answers it by the plan."""
        path, method = self.url.decode(), self.parser.get_method().decode()
        if not path.startswith("/o/"):
            return self.write(200, b"")
        attempt = AttemptRecord(
            self.headers.get("x-ticket", ""), self.server.name, self.began_s,
            float(self.headers.get("x-max-ms", "0")), path, came_after_s=self.came_after_s,
        )  # fmt: skip
        self.server.history.attempts.append(attempt)
        self.task = asyncio.get_running_loop().create_task(self._answer(attempt, method, dict(self.headers)))

    def write(self, status: int, body: bytes, *fields: str) -> None:
        """Writes a complete answer."""
        if self.transport is not None:
            self.transport.write(_encode(status, body, *fields))

    async def _answer(self, attempt: AttemptRecord, method: str, headers: dict[str, str]) -> None:
        fault, rng = self.server.drawn_fault(), self.server.rng
        attempt.end = fault.value if fault is not None else "answered"
        if fault is FaultName.SLOW:
            await asyncio.sleep(rng.uniform(0.05, 0.4))
        if fault is FaultName.DOUBLE:
            await asyncio.sleep(rng.choice(DOUBLE_DELAYS_S))
        if fault in (FaultName.SHED, FaultName.LATE):
            attempt.may_have_run = False
            return self.write(503 if fault is FaultName.SHED else 504, b"", "X-Shed: 1")
        if fault is FaultName.HANG:
            await asyncio.Event().wait()
        if method != "GET":
            await asyncio.sleep(rng.uniform(*WRITE_S))
            return await self._send(write_answer(attempt.trace_id), "Tag: w", fault, attempt)
        _, _, _, name, part = attempt.path.split("/")
        object_id, bound = f"{name}/{part}", headers.get("no-older-than")
        have_only = "have-only" in headers.get("handling", "")
        was_held = object_id in self.server.copies
        source = headers.get("miss-to")
        copy = self.server.find(object_id, float(bound) if bound else None, source, have_only)
        if copy is None:
            attempt.may_have_run = False
            return self.write(404, b"", "X-Remark: absent")
        await asyncio.sleep(rng.uniform(*(HIT_S if was_held else FILL_S)))
        made_ms = round(time.time() * 1000.0 - 1000.0 * (time.monotonic() - copy.made_s))
        fields = f"Tag: v{copy.version}\r\nMade-At: {made_ms}\r\nX-Remark: {'mem' if was_held else 'origin'}"
        await self._send(object_bytes(object_id, copy.version), fields, fault, attempt)
        attempt.ended_s = time.monotonic()

    async def _send(self, body: bytes, fields: str, fault: FaultName | None, attempt: AttemptRecord) -> None:
        rng, data = self.server.rng, _encode(200, body, fields)
        head_bytes = data.index(b"\r\n\r\n") + 4
        if self.transport is None:
            return
        match fault:
            case FaultName.ERROR:
                self.write(500, b"")
            case FaultName.RESET_HEAD | FaultName.STALL_HEAD:
                self.transport.write(data[: rng.randrange(head_bytes)])
                if fault is FaultName.RESET_HEAD:
                    self.abort()
            case FaultName.RESET_BODY | FaultName.STALL_BODY:
                self.transport.write(data[: rng.randrange(head_bytes, len(data))])
                if fault is FaultName.RESET_BODY:
                    await asyncio.sleep(rng.choice((0.0, 0.02)))
                    self.abort()
            case FaultName.GARBAGE:
                self.transport.write(rng.choice(NOISE))
            case FaultName.DOUBLE:
                await self._send_twice(data)
            case FaultName.DRIP:
                await self._drip(data, head_bytes, attempt.max_wait_ms / 1000.0 * rng.uniform(0.85, 1.1))
            case _:
                self.transport.write(data)

    async def _send_twice(self, data: bytes) -> None:
        """Sends an answer, and a second one behind it, often while the next request is under way."""
        assert self.transport is not None
        self.transport.write(data)
        sent_s, rng = time.monotonic(), self.server.rng
        late_s = rng.choice(SECOND_ANSWER_S)
        second = data if rng.random() < REPEATED_FRACTION else _encode(200, b"second answer")
        await asyncio.sleep(late_s)
        if time.monotonic() - sent_s > MAX_SECOND_ANSWER_S:  # this loop was late: it is left out
            self.server.history.note(time.monotonic(), f"{self.server.name} sends no second answer: too late")
        elif self.transport is not None:
            self.transport.write(second)

    async def _drip(self, data: bytes, head_bytes: int, duration_s: float) -> None:
        steps = 8
        for step in range(steps + 1):
            if self.transport is None:
                return
            begin = head_bytes + (len(data) - head_bytes) * (step - 1) // steps if step else 0
            self.transport.write(data[begin : head_bytes + (len(data) - head_bytes) * step // steps])
            await asyncio.sleep(duration_s / steps)


def _encode(status: int, body: bytes, *fields: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

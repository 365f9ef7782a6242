"""Stand-in caches, parent and origin of the soak: they inject the planned faults and record each attempt."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Any, cast

import httptools

from .history import AttemptRecord, History
from .objects import object_bytes, response_to_write
from .plan import FaultName, PlannedFault
from .scheduling import earliest_accept_s, earliest_arrival_s

HIT_DELAYS_S, FILL_DELAYS_S, WRITE_DELAYS_S = (0.001, 0.012), (0.008, 0.06), (0.004, 0.04)
MAX_PURGE_DELAY_S = 5.0  # within this time a server removes its copies of a purged object
# Delays of a response that a duplicate follows; they keep connections busy.
DELAYS_BEFORE_DUPLICATES_S = (0.0, 0.03, 0.08)
DUPLICATE_DELAYS_S = (0.0, 0.003, 0.01, 0.03, 0.045)  # after the first response
MAX_DUPLICATE_DELAY_S = 0.05  # if the event loop is delayed for longer, the duplicate is not sent
IDENTICAL_FRACTION = 0.5  # of the duplicates have the same bytes as the first response
# Malformed responses of which no byte may reach a client. Wrong bytes in a body of the right length are not
# among them, as a director can't detect those.
NOISE = (
    b"\x00\x01noise\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 9\r\n\r\nabcde",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz noise\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx",
)


@dataclass
class Copy:
    """A copy of an object: its version and when the origin sent it."""

    version: int
    made_s: float


class Origin:
    """The versions of all objects; a purge makes a new one."""

    def __init__(self) -> None:
        self.versions: dict[str, int] = {}

    def read(self, object_id: str) -> Copy:
        """Returns the current version of an object's part."""
        return Copy(self.versions.get(object_id.split("/")[0], 1), time.monotonic())


class SoakServer:
    """A cache, a parent or the origin.

    Attributes:
        role: `standard`, `parent` or `origin`: the server's model in the coordinator's list.
        copies: The copies of a cache or parent, by object and part.
        faults: The planned faults of this server.
        begin_s: When the run began; the times of the faults count from it.
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
        """Listens on a free port the first time, and on the same port later."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: ServerConnection(self), "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def go_down(self) -> None:
        """Stops listening and resets every connection, as if the process had died."""
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

    def draw_fault(self) -> FaultName | None:
        """Draws the fault of a response that is sent now, if any."""
        now_s = time.monotonic() - self.begin_s
        for fault in self.faults:
            is_on = fault.at_s <= now_s < fault.at_s + fault.duration_s
            if is_on and self.rng.random() < fault.fraction:
                return fault.name
        return None

    def find(
        self, object_id: str, max_age_ms: float | None, source: str | None, have_only: bool
    ) -> Copy | None:
        """Returns the copy to respond with, after a fill if one is allowed; None for a miss."""
        cached = self.copies.get(object_id)
        if cached is not None and _is_young_enough(cached, max_age_ms):
            return cached
        if self.role == "origin":
            return self.origin.read(object_id)
        peer = self.peers.get(source or "")
        if peer is None or (have_only and peer.role == "standard" and object_id not in peer.copies):
            return None
        if (
            have_only
            and (copy := peer.copies.get(object_id)) is not None
            and _is_young_enough(copy, max_age_ms)
        ):
            self.copies[object_id] = copy
        elif have_only:
            return None
        else:
            self.copies[object_id] = self.origin.read(object_id)
        return self.copies[object_id]

    def forget(self, object_name: str) -> None:
        """Removes the copies of a purged object."""
        for object_id in [key for key in self.copies if key.split("/")[0] == object_name]:
            del self.copies[object_id]


def _is_young_enough(copy: Copy, max_age_ms: float | None) -> bool:
    return max_age_ms is None or 1000.0 * (time.monotonic() - copy.made_s) <= max_age_ms


class ServerConnection(asyncio.Protocol):
    """One connection of a director."""

    def __init__(self, server: SoakServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.began_s = self.earliest_arrival_s = self.earliest_accept_s = 0.0
        self.is_first_on_connection = True  # whether the current request, or the next one, is the first
        self.url, self.headers = b"", dict[str, str]()
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The director has opened a connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        self.earliest_accept_s = earliest_accept_s()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancels a response in progress."""
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
        """Records when a request began."""
        self.began_s = time.monotonic()
        self.earliest_arrival_s = (
            self.earliest_accept_s if self.is_first_on_connection else earliest_arrival_s()
        )
        self.is_first_on_connection = False
        self.url, self.headers = b"", {}

    def on_url(self, url: bytes) -> None:
        """Appends a piece of the target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header field."""
        self.headers[name.decode().lower()] = value.decode("latin-1")

    def on_message_complete(self) -> None:
        """Responds to a complete request, with a planned fault if one applies."""
        path, method = self.url.decode(), self.parser.get_method().decode()
        if not path.startswith("/o/"):
            return self.write(200, b"")
        attempt = AttemptRecord(
            self.headers.get("x-ticket", ""), self.server.name, self.began_s,
            float(self.headers.get("x-max-ms", "0")), path, earliest_arrival_s=self.earliest_arrival_s,
        )  # fmt: skip
        self.server.history.attempts.append(attempt)
        self.task = asyncio.get_running_loop().create_task(self._answer(attempt, method, dict(self.headers)))

    def write(self, status: int, body: bytes, *fields: str) -> None:
        """Writes a complete response."""
        if self.transport is not None:
            self.transport.write(_encode(status, body, *fields))

    async def _answer(self, attempt: AttemptRecord, method: str, headers: dict[str, str]) -> None:
        fault, rng = self.server.draw_fault(), self.server.rng
        attempt.end = fault.value if fault is not None else "answered"
        if fault is FaultName.SLOW:
            await asyncio.sleep(rng.uniform(0.05, 0.4))
        if fault is FaultName.DOUBLE:
            await asyncio.sleep(rng.choice(DELAYS_BEFORE_DUPLICATES_S))
        if fault in (FaultName.SHED, FaultName.LATE):
            attempt.may_have_run = False
            return self.write(503 if fault is FaultName.SHED else 504, b"", "X-Shed: 1")
        if fault is FaultName.HANG:
            await asyncio.Event().wait()
        if method != "GET":
            await asyncio.sleep(rng.uniform(*WRITE_DELAYS_S))
            return await self._send(response_to_write(attempt.trace_id), "Tag: w", fault, attempt)
        _, _, _, name, part = attempt.path.split("/")
        object_id, bound = f"{name}/{part}", headers.get("no-older-than")
        have_only = "have-only" in headers.get("handling", "")
        was_cached = object_id in self.server.copies
        source = headers.get("miss-to")
        copy = self.server.find(object_id, float(bound) if bound else None, source, have_only)
        if copy is None:
            attempt.may_have_run = False
            return self.write(404, b"", "X-Remark: absent")
        await asyncio.sleep(rng.uniform(*(HIT_DELAYS_S if was_cached else FILL_DELAYS_S)))
        made_ms = round(time.time() * 1000.0 - 1000.0 * (time.monotonic() - copy.made_s))
        fields = (
            f"Tag: v{copy.version}\r\nMade-At: {made_ms}\r\nX-Remark: {'mem' if was_cached else 'origin'}"
        )
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
        """Sends a response and a duplicate after it, often while the next request is in flight."""
        assert self.transport is not None
        self.transport.write(data)
        sent_s, rng = time.monotonic(), self.server.rng
        delay_s = rng.choice(DUPLICATE_DELAYS_S)
        duplicate = data if rng.random() < IDENTICAL_FRACTION else _encode(200, b"second answer")
        await asyncio.sleep(delay_s)
        if time.monotonic() - sent_s > MAX_DUPLICATE_DELAY_S:  # this event loop was delayed
            self.server.history.note(
                time.monotonic(), f"{self.server.name} sends no duplicate response: too late"
            )
        elif self.transport is not None:
            self.transport.write(duplicate)

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

"""Scripted peers on loopback: what a cache answers is a function of the test's or the rehearsal's own."""

from __future__ import annotations

import asyncio
import json
import ssl
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol, Self

from ..config.platform import PlatformConfig, read_config
from ..director import Director
from ..dns.settings import DnsConfig

if TYPE_CHECKING:
    from ..config.options import Options


@dataclass(slots=True)
class Heard:
    """One request as a scripted peer read it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    peer: ScriptedPeer
    writer: asyncio.StreamWriter

    async def answer(self, status: int = 200, body: bytes = b"", **fields: str) -> None:
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
        if status != 304:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self.writer.drain()


Script = Callable[[Heard], Awaitable[None]]


class Peer(Protocol):
    """A cache, parent or origin of a rehearsal, whatever it speaks."""

    uid: str
    model: str
    zone: str
    size: float
    state: str
    boot_ms: float
    address: str

    async def start(self) -> Peer: ...
    def stop(self) -> None: ...
    def target(self) -> dict[str, Any]: ...


def target_of(peer: Peer) -> dict[str, Any]:
    """A peer's entry in the coordinator's list."""
    return {
        "uid": peer.uid, "endpoint": peer.address, "az": peer.zone, "model": peer.model, "pod_group": 0,
        "state": peer.state, "capacity_hint": peer.size, "boot_ms": peer.boot_ms,
    }  # fmt: skip


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """One HTTP message with a length: its first line, its fields in lower case, its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:-2])}
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return head[0], fields, body


@dataclass(slots=True, eq=False)
class ScriptedPeer:
    """A cache, parent or origin that answers as its script says, and keeps what it heard."""

    script: Script
    uid: str = "c1"
    model: str = "standard"
    zone: str = "edge-1"
    size: float = 8.0
    state: str = "SERVING"
    host: str = "127.0.0.1"
    boot_ms: float = 0.0
    tls: ssl.SSLContext | None = None
    heard: list[Heard] = field(default_factory=list)
    connections: int = 0
    address: str = ""
    _server: asyncio.Server | None = None

    async def start(self) -> ScriptedPeer:
        self._server = await asyncio.start_server(self._serve, self.host, 0, ssl=self.tls)
        self.address = f"{self.host}:{self._server.sockets[0].getsockname()[1]}"
        return self

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    def target(self) -> dict[str, Any]:
        """Its entry in the coordinator's list."""
        return target_of(self)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                first, fields, body = await read_message(reader)
                method, path, _ = first.split(" ")
                heard = Heard(method, path, fields, body, self, writer)
                self.heard.append(heard)
                await self.script(heard)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


@dataclass(slots=True, eq=False)
class Coordinator:
    """The coordinator's feed, told by hand; `cut` drops its connections."""

    events: list[dict[str, Any]] = field(default_factory=list)
    follows: list[int] = field(default_factory=list)
    address: str = ""
    _writers: list[asyncio.StreamWriter] = field(default_factory=list)
    _server: asyncio.Server | None = None
    answering: asyncio.Event | None = None  # where set, a follower is answered once it is set

    async def start(self) -> Coordinator:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    def tell(self, **event: Any) -> None:
        self.events.append({"index": len(self.events) + 1, **event})
        self.write(json.dumps(self.events[-1]).encode() + b"\n")

    def write(self, data: bytes) -> None:
        """Whatever a coordinator may put on its connections, lines or not."""
        for writer in self._writers:
            writer.write(data)

    def tell_list(self, *peers: Peer, whole: bool = False) -> None:
        self.tell(endpoints={"rev": 1, "all": whole, "targets": [peer.target() for peer in peers]})

    def cut(self) -> None:
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def stop(self) -> None:
        self.cut()
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        last = int((await reader.readline()).split()[1])
        self.follows.append(last)
        if self.answering is not None:
            await self.answering.wait()
        for event in self.events[last:]:
            writer.write(json.dumps(event).encode() + b"\n")
        writer.write(b"%d\n" % len(self.events))  # the last one's number, which comes each second as well
        self._writers.append(writer)


SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "lot-video", "promise_ms": 600.0, "give_up_ms": 5000.0, "repeat": "repeatable"},
        {"name": "lot-page", "promise_ms": 250.0, "give_up_ms": 3000.0, "repeat": "repeatable"},
        {"name": "bid", "promise_ms": 800.0, "give_up_ms": 3000.0, "repeat": "once", "importance": 3.0},
    ],
    "kinds": ["standard", "parent", "origin"],
    "zones": ["north", "edge-1"],
    "my_zone": "edge-1",
    "n_instances": 1,
    "limits": {"most_tries": 6, "may_duplicate": True, "cancel": True, "connect_timeout_ms": 400.0,
               "max_retry_after_ms": 1000.0, "may_probe": True},
    "invariants": {"drain_grace_ms": 250.0, "cold_from": 0.16, "ramp_time_ms": 18000.0,
                   "fall_multiple": 3.0, "tip_after_ms": 2000.0},
    "specifics": {"upper_kind": 1, "origin_kind": 2, "hub_of": [0, 0], "instances_by_zone": [0, 1],
                  "uncached": [False, False, True], "lifetime_by_class_ms": [0.0, 20000.0, 0.0],
                  "may_pass_by": True, "note_level": "all", "obey_after_ms": 500.0,
                  "purge_settles_ms": 6000.0},
}  # fmt: skip


def config_for(
    peers: Sequence[Peer], coordinator: Coordinator, settings: Mapping[str, Any] = SETTINGS
) -> dict[str, Any]:
    """A director's configuration file for these peers, which it knows from its start."""
    if not coordinator.events:
        coordinator.tell_list(*peers, whole=True)
    return {
        "name": "n1", "listen": "127.0.0.1:0", "seed": "1f", "limits": {"sockets": 256},
        "coordinator": coordinator.address, "settings": settings,
        "known": {"index": len(coordinator.events), "updates": coordinator.events},
    }  # fmt: skip


@dataclass(slots=True, eq=False)
class Rehearsal:
    """A director in this process with its peers; `async with` starts and stops them all."""

    peers: Sequence[Peer]
    coordinator: Coordinator = field(default_factory=Coordinator)
    settings: Mapping[str, Any] = field(default_factory=lambda: SETTINGS)
    dns: DnsConfig | None = None
    options: Options | None = None
    director: Director | None = None

    async def __aenter__(self) -> Self:
        await self.coordinator.start()
        for peer in self.peers:
            await peer.start()
        config: PlatformConfig = read_config(config_for(self.peers, self.coordinator, self.settings), {})
        self.director = Director(config, asyncio.get_running_loop(), self.dns, self.options)
        await self.director.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        assert self.director is not None
        self.director.front.close()
        self.director.coordinator_watch.close()
        if self.director.dns is not None:
            self.director.dns.close()
        self.coordinator.stop()
        for peer in self.peers:
            peer.stop()

    async def client(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        assert self.director is not None
        return await asyncio.open_connection(*self.director.front.address)

    async def ask(
        self, path: str = "/invoke/lot-page/a1?nth=0", **more: Any
    ) -> tuple[int, dict[str, str], bytes]:
        """One client's request on a connection of its own: status, fields, body."""
        reader, writer = await self.client()
        try:
            writer.write(request(path, **more))
            first, fields, body = await read_message(reader)
            return int(first.split(" ")[1]), fields, body
        finally:
            writer.close()


def request(
    path: str, method: str = "GET", wait_ms: float = 3000.0, body: bytes = b"", **fields: str
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: app.svc", f"Max-Wait-Ms: {wait_ms}"]
    lines += [f"Trace-Id: {fields.pop('trace', '9b1f03aa5c7e2d41')}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def until(true: Callable[[], bool], most_s: float = 20.0) -> None:
    """Wait until something holds: stories need no guess of how long a busy machine takes."""
    end = time.monotonic() + most_s
    while not true():
        if time.monotonic() > end:
            raise TimeoutError("what was waited for did not come about")
        await asyncio.sleep(0.005)

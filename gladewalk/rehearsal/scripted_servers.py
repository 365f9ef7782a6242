"""Stand-in cache servers on loopback; a script, a function of a test or rehearsal, sends the responses."""

from __future__ import annotations

import asyncio
import ssl
from abc import abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Generic, Self, TypeVar

from .http_messages import encode_message, header_names, read_message

ScriptT = TypeVar("ScriptT")
READ_LIMIT_BYTES = 65_536
NOT_MODIFIED = 304


@dataclass(slots=True, eq=False)
class StandInServer(Generic[ScriptT]):
    """A cache, parent or origin that the coordinator can list; listens on loopback after `start`."""

    script: ScriptT
    uid: str = "c1"
    model: str = "standard"
    zone: str = "edge-1"
    capacity: float = 8.0
    state: str = "SERVING"
    host: str = "127.0.0.1"
    boot_ms: float = 0.0
    tls: ssl.SSLContext | None = None
    address: str = ""
    connections: int = 0  # accepted so far
    _server: asyncio.Server | None = None

    @abstractmethod
    def _new_protocol(self) -> asyncio.Protocol:
        """Returns the protocol for a new connection."""

    async def start(self) -> Self:
        """Listens on a port that the system assigns; `address` contains it afterwards."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._new_protocol, self.host, 0, ssl=self.tls)
        self.address = f"{self.host}:{self._server.sockets[0].getsockname()[1]}"
        return self

    def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    def target(self) -> dict[str, Any]:
        """Returns the server's entry in the coordinator's endpoint list."""
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": self.zone,
            "model": self.model,
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": self.capacity,
            "boot_ms": self.boot_ms,
        }


@dataclass(slots=True)
class ReceivedRequest:
    """A request that a scripted server received; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    server: ScriptedServer
    writer: asyncio.StreamWriter

    async def respond(self, status: int = 200, body: bytes = b"", **fields: str) -> None:
        """Sends a response; `fields` are further headers (see `header_names`)."""
        headers = header_names(fields)
        if status != NOT_MODIFIED:
            headers["Content-Length"] = str(len(body))
        self.writer.write(encode_message(f"HTTP/1.1 {status} X", headers, body))
        await self.writer.drain()


Http1Script = Callable[[ReceivedRequest], Awaitable[None]]


@dataclass(slots=True, eq=False)
class ScriptedServer(StandInServer[Http1Script]):
    """A stand-in HTTP/1.1 server that responds by its script and records the requests received."""

    received: list[ReceivedRequest] = field(default_factory=list)

    def _new_protocol(self) -> asyncio.Protocol:
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(READ_LIMIT_BYTES, loop)
        return asyncio.StreamReaderProtocol(reader, self._serve, loop)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                request_line, headers, body = await read_message(reader)
                method, path, _ = request_line.split(" ")
                request = ReceivedRequest(method, path, headers, body, self, writer)
                self.received.append(request)
                await self.script(request)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the client closed the connection, or the server is being stopped
        finally:
            writer.close()

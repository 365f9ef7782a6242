"""A stand-in coordinator: a watch feed whose events a test or rehearsal publishes."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from .scripted_servers import StandInServer


@dataclass(slots=True, eq=False)
class Coordinator:
    """Sends each follower the events published so far, and later ones as they are published."""

    events: list[dict[str, Any]] = field(default_factory=list)
    followed_from: list[int] = field(default_factory=list)  # last index of each follower, by connection order
    address: str = ""
    _writers: list[asyncio.StreamWriter] = field(default_factory=list)
    _server: asyncio.Server | None = None
    responses_allowed: asyncio.Event | None = None  # if given, followers get no data before it is set
    backlog_interval_s: float = 0.0  # before each event that a new follower lacks

    async def start(self) -> Coordinator:
        """Listens on a port that the system assigns; `address` contains it afterwards."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    def publish(self, **event: Any) -> None:
        """Adds an event with the next index and sends it to all followers."""
        self.events.append({"index": len(self.events) + 1, **event})
        self.send_raw(json.dumps(self.events[-1]).encode() + b"\n")

    def publish_endpoints(self, *servers: StandInServer[Any], is_complete: bool = False) -> None:
        """Publishes a change of the endpoint list, or a complete list."""
        targets = [server.target() for server in servers]
        self.publish(endpoints={"rev": 1, "all": is_complete, "targets": targets})

    def send_raw(self, data: bytes) -> None:
        """Sends raw bytes to all followers, valid in the protocol or not."""
        for writer in self._writers:
            writer.write(data)

    def disconnect(self) -> None:
        """Aborts the connections of all followers."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def stop(self) -> None:
        """Disconnects all followers and stops listening."""
        self.disconnect()
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._send_backlog(reader, writer)
        except BaseException:  # cancelled at the end of a run, or the follower has gone
            writer.close()
            raise
        self._writers.append(writer)

    async def _send_backlog(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Sends a new follower the events that it lacks.

        Raises:
            IndexError: The follower has sent no line that names its last event.
        """
        last_index = int((await reader.readline()).split()[1])
        self.followed_from.append(last_index)
        if self.responses_allowed is not None:
            await self.responses_allowed.wait()
        while last_index < len(self.events):
            if self.backlog_interval_s:
                await asyncio.sleep(self.backlog_interval_s)
            writer.write(json.dumps(self.events[last_index]).encode() + b"\n")
            last_index += 1
        writer.write(b"%d\n" % len(self.events))  # the last index; the platform also sends it every second

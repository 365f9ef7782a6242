"""The soak's coordinator: a numbered feed with a heartbeat, which can go down or become unresponsive."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

HEARTBEAT_S = 1.0


class SoakCoordinator:
    """Sends all earlier events to each follower, and new ones as they are published."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.port = 0
        self.is_unresponsive = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._heartbeat: asyncio.Task[None] | None = None

    async def listen(self) -> None:
        """Listens on a free port the first time, and on the same port later."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        if self._heartbeat is None:
            self._heartbeat = asyncio.get_running_loop().create_task(self._beat())

    def go_down(self) -> None:
        """Stops listening and resets all followers."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def close(self) -> None:
        """Stops listening, resets all followers and ends the heartbeat."""
        self.go_down()
        if self._heartbeat is not None:
            self._heartbeat.cancel()

    def publish(self, **event: Any) -> None:
        """Adds an event with the next number."""
        self.events.append({"index": len(self.events) + 1, **event})
        self._send(json.dumps(self.events[-1]).encode() + b"\n")

    def publish_endpoints(self, targets: list[dict[str, Any]], is_complete: bool = False) -> None:
        """Publishes a change of the endpoint list, or a complete one."""
        self.publish(endpoints={"rev": len(self.events) + 1, "all": is_complete, "targets": targets})

    def known(self) -> dict[str, Any]:
        """Returns the events so far in the form of a director's configuration."""
        return {"index": len(self.events), "updates": list(self.events)}

    def _send(self, data: bytes) -> None:
        if not self.is_unresponsive:
            for writer in self._writers:
                writer.write(data)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._send(b"%d\n" % len(self.events))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, ValueError, IndexError, asyncio.CancelledError):
            last = int((await reader.readline()).split()[1])
            while self.is_unresponsive:  # events are delayed, not lost
                await asyncio.sleep(0.05)
            for event in self.events[last:]:
                writer.write(json.dumps(event).encode() + b"\n")
            writer.write(b"%d\n" % len(self.events))
            self._writers.add(writer)
            await reader.read()
        self._writers.discard(writer)
        writer.close()

"""HTTP/1.1 listener of the admin address: one call per connection, limited in time, size and number."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import cast

import httptools

from ..config.platform import Address
from ..core.counters import Counters
from ..core.deadlines import DeadlineKey, Deadlines

CALL_TIMEOUT_MS = 2_000.0
"""A connection whose call has not been received completely after this time is closed without a response."""

MAX_ADMIN_CONNECTIONS = 64
"""Number of simultaneous connections; a further connection closes the oldest one."""

MAX_CALL_BYTES = 8 * 1024
LISTEN_BACKLOG = 256
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    503: "Service Unavailable",
}


@dataclass(slots=True, frozen=True)
class Response:
    """A response to an operator's call, in plain text."""

    status: int
    body: bytes = b""


Handler = Callable[[], Response]
Routes = Mapping[str, Mapping[str, Handler]]
"""Handlers by path, then by method."""


class AdminConnection(asyncio.Protocol):
    """An operator's connection: reads one request, sends the response and closes."""

    def __init__(self, front: AdminFront) -> None:
        self.due: DeadlineKey | None = None  # the timer that closes the connection, set by the front
        self._front = front
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._received_bytes = 0
        self._is_answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers with the front, which may close an older connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._front.register(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Unregisters from the front."""
        self._transport = None
        self._front.unregister(self)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; answers 400 if they are not HTTP or exceed `MAX_CALL_BYTES`."""
        if self._is_answered:
            return
        self._received_bytes += len(data)
        if self._received_bytes > MAX_CALL_BYTES:
            self._answer(Response(400))
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._answer(Response(400))

    def eof_received(self) -> bool:
        """Lets the transport close, as an incomplete call gets no response."""
        return False

    def on_url(self, url: bytes) -> None:
        """Collects the request target; called by the parser once or more, as the target may be in pieces."""
        self._url += url

    def on_message_complete(self) -> None:
        """Answers the request; called by the parser."""
        method = self._parser.get_method().decode("latin-1")
        try:
            path = (httptools.parse_url(self._url).path or b"").decode("latin-1")
        except httptools.HttpParserInvalidURLError:
            self._answer(Response(400))
            return
        self._answer(self._front.handle(method, path))

    def abort(self) -> None:
        """Closes the connection without a response and counts it."""
        self.due = None
        if self._transport is not None:
            self._front.counters.add("admin.calls_unfinished")
            self._transport.abort()

    def _answer(self, response: Response) -> None:
        if self._is_answered or self._transport is None:
            return
        self._is_answered = True
        head = (
            f"HTTP/1.1 {response.status} {REASONS.get(response.status, 'Error')}\r\n"
            f"Content-Type: text/plain\r\nContent-Length: {len(response.body)}\r\nConnection: close\r\n\r\n"
        )
        self._transport.write(head.encode("latin-1") + response.body)
        self._transport.close()


class AdminFront:
    """Listens at the admin address on the director's own event loop and routes operators' calls.

    Attributes:
        connections: Open connections, the oldest first.
        address: The address it listens at, once `listen` has returned.
    """

    def __init__(
        self, routes: Routes, clock: Callable[[], float], deadlines: Deadlines, counters: Counters
    ) -> None:
        self.routes, self.clock, self.deadlines, self.counters = routes, clock, deadlines, counters
        self.connections: dict[AdminConnection, None] = {}
        self.address: Address = ("", 0)
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Starts to listen. Raises `OSError` if the address cannot be bound."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: AdminConnection(self), *address, family=family, backlog=LISTEN_BACKLOG
        )
        self.address = self._server.sockets[0].getsockname()[:2]

    def handle(self, method: str, path: str) -> Response:
        """Calls the handler of a request; answers 404 for an unknown path, 405 for an unsupported method."""
        methods = self.routes.get(path)
        if methods is None:
            self.counters.add("admin.unknown_path")
            return Response(404)
        handler = methods.get(method)
        if handler is None:
            self.counters.add("admin.wrong_method")
            return Response(405)
        self.counters.add("admin.calls")
        return handler()

    def register(self, connection: AdminConnection) -> None:
        """Adds a connection and starts its timer; at `MAX_ADMIN_CONNECTIONS` the oldest is aborted first."""
        if len(self.connections) >= MAX_ADMIN_CONNECTIONS:
            oldest = next(iter(self.connections))
            self.counters.add("admin.made_room")
            oldest.abort()
        self.connections[connection] = None
        connection.due = self.deadlines.add(self.clock() + CALL_TIMEOUT_MS, connection.abort)

    def unregister(self, connection: AdminConnection) -> None:
        """Removes a closed connection and its timer."""
        self.connections.pop(connection, None)
        self.deadlines.drop(connection.due)
        connection.due = None

    def close(self) -> None:
        """Stops listening and aborts every open connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.abort()

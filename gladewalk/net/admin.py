"""The second address: operators' calls over HTTP/1.1, one a connection, each bounded in time and in count."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping
from typing import cast

import httptools

from ..config.platform import Address
from ..core.counters import Counters
from ..core.deadlines import DeadlineKey, Deadlines

CALL_MS = 2_000.0  # a call that has not come whole in this long is closed unanswered
CALLERS_MOST = 64  # connections held at once; who comes over it makes the oldest leave
HEAD_MOST = 8 * 1024
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    503: "Service Unavailable",
}

Answer = Callable[[], tuple[int, bytes]]
Routes = Mapping[str, Mapping[str, Answer]]  # path -> method -> what answers it


class Call(asyncio.Protocol):
    """One caller's connection: one call is read whole, answered, and the connection is closed."""

    def __init__(self, admin: AdminFront) -> None:
        self.admin = admin
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.url, self.size, self.done = b"", 0, False
        self.due: DeadlineKey | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.admin.arrived(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.admin.left(self)

    def data_received(self, data: bytes) -> None:
        if self.done:
            return
        self.size += len(data)
        try:
            if self.size > HEAD_MOST:
                return self.answer(400, b"")
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(400, b"")

    def eof_received(self) -> bool:
        return False

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        method = self.parser.get_method().decode("latin-1")
        try:
            path = (httptools.parse_url(self.url).path or b"").decode("latin-1")
        except httptools.HttpParserInvalidURLError:
            return self.answer(400, b"")
        self.answer(*self.admin.call(method, path))

    def answer(self, status: int, body: bytes) -> None:
        if self.done or self.transport is None:
            return
        self.done = True
        head = (
            f"HTTP/1.1 {status} {REASONS.get(status, 'Error')}\r\nContent-Type: text/plain\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.transport.write(head.encode("latin-1") + body)
        self.transport.close()

    def time_up(self) -> None:
        self.due = None
        if self.transport is not None:
            self.admin.counters.add("admin.calls_unfinished")
            self.transport.abort()


class AdminFront:
    """Listens at the second address on the director's own loop; `routes` say what each call is answered."""

    def __init__(
        self, routes: Routes, clock: Callable[[], float], deadlines: Deadlines, counters: Counters
    ) -> None:
        self.routes, self.clock, self.deadlines, self.counters = routes, clock, deadlines, counters
        self.calls: dict[Call, None] = {}  # in the order they came
        self.address: Address = ("", 0)
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Call(self), *address, family=family, backlog=256)
        self.address = self._server.sockets[0].getsockname()[:2]

    def call(self, method: str, path: str) -> tuple[int, bytes]:
        """404 for a path that is not known, 405 for a method it does not take."""
        methods = self.routes.get(path)
        if methods is None:
            self.counters.add("admin.unknown_path")
            return 404, b""
        answer = methods.get(method)
        if answer is None:
            self.counters.add("admin.wrong_method")
            return 405, b""
        self.counters.add("admin.calls")
        return answer()

    def arrived(self, call: Call) -> None:
        if len(self.calls) >= CALLERS_MOST:
            oldest = next(iter(self.calls))
            self.counters.add("admin.made_room")
            oldest.time_up()
        self.calls[call] = None
        call.due = self.deadlines.add(self.clock() + CALL_MS, call.time_up)

    def left(self, call: Call) -> None:
        self.calls.pop(call, None)
        self.deadlines.drop(call.due)
        call.due = None

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for call in list(self.calls):
            call.time_up()

"""The platform's front: HTTP/1.1 from clients, one request at a time on each connection."""

from __future__ import annotations

import asyncio
import math
import re
import socket
from collections import deque
from typing import cast

import httptools

from ..config import Address
from ..counters import Counters
from ..exchange import Ask, Exchange, Final, Head

BODY_MOST = 64 * 1024  # a write carries at most 48,000 bytes
HEADERS_MOST = 16 * 1024
BACKLOG = 1024
WAITING_MOST = 8  # requests that a client may have sent ahead on one connection
CLASS = re.compile(r"[A-Za-z0-9._~-]{1,64}\Z")
OBJECT = re.compile(r"[0-9A-Fa-f]{1,16}\Z")
TRACE = re.compile(r"[0-9A-Fa-f]{1,32}\Z")
TAG = re.compile(r'(?:W/)?"([\x21\x23-\x7e]*)"\Z')
REASONS = {
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


class BadRequest(Exception):
    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


def _number(headers: dict[bytes, bytes], name: bytes, most: float, default: float | None = None) -> float:
    text = headers.get(name)
    if text is None and default is not None:
        return default
    try:
        value = float(text or b"")
    except ValueError:
        raise BadRequest(400) from None
    if not math.isfinite(value) or not 0.0 <= value <= most:
        raise BadRequest(400)
    return value


def read_ask(method: str, path: str, query: str, headers: dict[bytes, bytes], body: bytes) -> Ask:
    """A request as `PROTOCOL` describes it, or `BadRequest` with the status that says what is wrong."""
    if method not in ("GET", "PUT"):
        raise BadRequest(405)
    parts = path.split("/")
    if len(parts) != 4 or parts[:2] != ["", "invoke"]:
        raise BadRequest(404)
    part = "0"
    for pair in query.split("&"):
        if pair.startswith("nth="):
            part = pair[4:]
    trace, group = headers.get(b"trace-id", b"").decode("latin-1"), _number(headers, b"x-batch", 65_535, 0.0)
    good = CLASS.match(parts[2]) and OBJECT.match(parts[3]) and TRACE.match(trace)
    if not good or not (part.isascii() and part.isdigit() and len(part) < 10) or group % 1.0:
        raise BadRequest(400)
    held = headers.get(b"if-none-match")
    tag = TAG.match(held.decode("latin-1").strip()) if held else None
    return Ask(
        trace=trace,
        method=method,
        class_name=parts[2],
        object_name=parts[3],
        key=int(parts[3], 16),
        part=int(part),
        wait_ms=_number(headers, b"max-wait-ms", 86_400_000.0),
        size_kb=_number(headers, b"reserve-kb", 1e9, 0.0),
        group=int(group),
        tag=tag.group(1) if tag else None,
        body=body,
    )


class ClientConnection(asyncio.Protocol):
    """One client's connection; it is itself the client side of the request that it has open."""

    def __init__(self, front: ClientFront) -> None:
        self.front = front
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.waiting: deque[Ask | int] = deque()  # read, but not yet begun: an int is a status to answer
        self.number: int | None = None  # the request that is open
        self.chunked = self.last = self.taking = False
        self.url, self.size = b"", 0
        self.headers: dict[bytes, bytes] = {}
        self.content: list[bytes] = []

    # asyncio's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is none by inheritance
        self.front.connections.add(self)
        self.front.counters.add("clients.connected")

    def connection_lost(self, error: Exception | None) -> None:
        self.front.connections.discard(self)
        self.transport = None
        self.waiting.clear()
        if self.number is not None:
            number, self.number = self.number, None
            self.front.exchange.gone(number)

    def data_received(self, data: bytes) -> None:
        if self.last:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__ or error.__cause__
            if not isinstance(cause, BadRequest):
                raise
            self._refuse_input(cause.status)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse_input(400)
        self._next()

    def eof_received(self) -> bool:
        return False  # a client that has closed its side waits for nothing

    def pause_writing(self) -> None:
        if self.number is not None:
            self.front.exchange.flow(self.number, False)

    def resume_writing(self) -> None:
        if self.number is not None:
            self.front.exchange.flow(self.number, True)

    # httptools' calls

    def on_message_begin(self) -> None:
        self.url, self.size, self.headers, self.content = b"", 0, {}, []

    def on_url(self, url: bytes) -> None:
        self._grow(len(url), HEADERS_MOST, 431)
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.size += len(name) + len(value)
        if self.size > HEADERS_MOST:
            raise BadRequest(431)
        self.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        self.size = 0
        if self.headers.get(b"expect", b"").lower() == b"100-continue" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._grow(len(body), BODY_MOST, 413)
        self.content.append(body)

    def on_message_complete(self) -> None:
        self.last = not self.parser.should_keep_alive()
        try:
            url = httptools.parse_url(self.url)
            path, query = (url.path or b"").decode("latin-1"), (url.query or b"").decode("latin-1")
            method = self.parser.get_method().decode("latin-1")
            if path == "/_health" and method == "GET":
                self.waiting.append(200)
            else:
                self.waiting.append(read_ask(method, path, query, self.headers, b"".join(self.content)))
        except BadRequest as error:
            self.waiting.append(error.status)
        except httptools.HttpParserError:
            self.waiting.append(400)
        if len(self.waiting) > WAITING_MOST:
            raise BadRequest(400)

    def _grow(self, by: int, most: int, status: int) -> None:
        self.size += by
        if self.size > most:
            raise BadRequest(status)

    def _refuse_input(self, status: int) -> None:
        """What came can't be read on from here: one answer more, then the connection closes."""
        self.waiting.append(status)
        self.last = True

    def _next(self) -> None:
        """Take requests in their order, one at a time."""
        if self.taking:
            return
        self.taking = True  # an answer at once comes back here
        while self.number is None and self.waiting and self.transport is not None:
            ask = self.waiting.popleft()
            if isinstance(ask, int):
                if ask != 200:
                    self.front.counters.add(f"clients.bad_input_{ask}")
                self._write_status(ask)
                self._after_answer()
            else:
                self.number = -1  # stands for the number until it is known: an answer may come before it
                number = self.front.exchange.take(ask, self)
                if self.number == -1:
                    self.number = number
        self.taking = False

    # The exchange's calls

    def begin(self, head: Head) -> None:
        lines = ["HTTP/1.1 304 Not Modified" if head.unchanged else "HTTP/1.1 200 OK"]
        self.chunked = head.length is None and not head.unchanged
        if self.chunked:
            lines.append("Transfer-Encoding: chunked")
        elif not head.unchanged:
            lines.append(f"Content-Length: {head.length}")
        if head.tag is not None:
            lines.append(f'ETag: "{head.tag}"')
        self._write(self._with_close(lines))

    def body(self, data: bytes) -> None:
        self._write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)

    def end(self) -> None:
        if self.chunked:
            self._write(b"0\r\n\r\n")
        self._after_answer()

    def cut(self) -> None:
        self.number = None
        if self.transport is not None:
            self.transport.abort()

    def finish(self, final: Final, retry_after_ms: float) -> None:
        if final is Final.REFUSED:  # whole seconds are what HTTP has; under one would read as 'at once'
            self._write_status(503, [f"Retry-After: {max(1, math.ceil(retry_after_ms / 1000.0))}"])
        else:
            self._write_status(502)
        self._after_answer()

    def _write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def _with_close(self, lines: list[str]) -> bytes:
        if self._ends_here():
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _ends_here(self) -> bool:
        return (self.last or self.front.closing) and not self.waiting

    def _write_status(self, status: int, more: list[str] | None = None) -> None:
        reason = b"OK" if status == 200 else REASONS[status]
        lines = [f"HTTP/1.1 {status} {reason.decode()}", "Content-Length: 0", *(more or ())]
        self._write(self._with_close(lines))

    def _after_answer(self) -> None:
        self.number = None
        if self.transport is not None and self._ends_here():
            self.transport.close()
        self._next()


class ClientFront:
    """Listens for clients; once `closing`, connections end with the answer they have open."""

    def __init__(self, exchange: Exchange, counters: Counters) -> None:
        self.exchange, self.counters = exchange, counters
        self.connections: set[ClientConnection] = set()
        self.closing = False
        self.address: Address = ("", 0)
        self._listener: socket.socket | None = None
        self._opening: set[asyncio.Task[object]] = set()

    def listen(self, address: Address) -> None:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._listener = socket.create_server(address, family=family, backlog=BACKLOG)
        self._listener.setblocking(False)
        host, port = self._listener.getsockname()[:2]
        self.address = (host, port)
        asyncio.get_running_loop().add_reader(self._listener, self.accept)

    def accept(self) -> None:
        """Take every connection that waits.

        Guards against the loop's own server, which takes one a turn: with hundreds of clients coming at once
        and turns of some milliseconds, a request lay unread for most of a second, past its client's patience.
        """
        loop = asyncio.get_running_loop()
        while self._listener is not None:
            try:
                peer, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError:  # no descriptor left, or the peer has gone: the next turn tries again
                return self.counters.add("clients.accept_failed")
            peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = loop.create_task(loop.connect_accepted_socket(lambda: ClientConnection(self), peer))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    def close(self) -> None:
        self.closing = True
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            if connection.number is None and not connection.waiting and connection.transport is not None:
                connection.transport.close()

"""One client's connection: HTTP/1.1, one request at a time, read whole before it is taken."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import TYPE_CHECKING, cast

import httptools

from ..core.exchange import Ask, Final, Head
from .requests import REASONS, SINGLE, BadRequest, read_ask
from .sockets import FRAME_MOST, Unread, has_ended, watch

if TYPE_CHECKING:
    from .clients import ClientFront

HEADERS_MOST = 16 * 1024
WAITING_MOST = 8  # requests that a client may have sent ahead on one connection
HEALTHY, UNREADY = 200, -503  # what a health check is answered; the second is no status of bad input


class ClientConnection(asyncio.Protocol):
    """One client's connection; it is itself the client side of the request that it has open."""

    def __init__(self, front: ClientFront) -> None:
        self.front = front
        self.transport: asyncio.Transport | None = None
        self.unread: Unread | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.exchange = front.exchange  # whose the open request is
        self.waiting: deque[Ask | int] = deque()  # read, but not yet begun: an int is a status to answer
        self.number: int | None = None  # the request that is open
        self.ask: Ask | None = None
        self.patience_ms = 0.0  # until when the client of the last request waits for its answer
        self.chunked = self.taking = False
        self.last = False  # the last request or answer of this connection: what comes now is dropped
        self.paused = self.full = False  # not read at the moment; the client does not read
        self.kind: dict[ClientConnection, float] | None = None  # of the front's kinds without an open request
        self.came = False  # its transport has been made
        self.refused = self.leaving = False  # its input is dropped; it makes room for another
        self.asked = False  # a whole request has ever come
        self.partial = self.headed = False  # a request is half read; its head is whole
        self.began_ms = 0.0  # when its first byte was read
        self.url, self.size, self.frame = b"", 0, 0  # `frame`: bytes read since the last of a body
        self.headers: dict[bytes, bytes] = {}
        self.content: list[bytes] = []

    # asyncio's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is none by inheritance
        self.unread = watch(self.transport)
        self.front.arrived(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.waiting.clear()
        if self.number is not None:
            number, self.number = self.number, None
            self._release()
            self.exchange.gone(number)
        self.front.left(self)

    def data_received(self, data: bytes) -> None:
        if self.last:
            return
        in_head = self.partial and not self.headed
        self.frame += len(data)
        try:
            self.parser.feed_data(data)
            if in_head and self.partial and not self.headed:  # none of its fields may ever end
                self._grow(len(data), HEADERS_MOST, 431)
            if self.partial and self.frame > FRAME_MOST:
                raise BadRequest(413)
        except BadRequest as error:
            self._refuse_input(error.status)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__ or error.__cause__
            if not isinstance(cause, BadRequest):
                raise
            self._refuse_input(cause.status)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse_input(400)
        self._next()
        if self.waiting and self.transport is not None:  # guards memory: requests ahead stay with the client
            self.paused = True
            self.transport.pause_reading()
            self.front.watch_paused(self)

    def eof_received(self) -> bool:
        return False  # a client that has closed its side waits for nothing

    def pause_writing(self) -> None:
        self.full = True
        if self.number is not None:
            self.exchange.flow(self.number, False)

    def resume_writing(self) -> None:
        self.full = False
        if self.number is not None:
            self.exchange.flow(self.number, True)
        self._next()

    # httptools' calls

    def on_message_begin(self) -> None:
        self.url, self.size, self.frame, self.headers, self.content = b"", 0, 0, {}, []
        self.partial, self.headed, self.began_ms = True, False, self.front.clock()

    def on_url(self, url: bytes) -> None:
        self._grow(len(url), HEADERS_MOST, 431)
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.size += len(name) + len(value)
        if self.size > HEADERS_MOST:
            raise BadRequest(431)
        name = name.lower()
        if name in self.headers and name in SINGLE:  # which of the two counts, others may see otherwise
            raise BadRequest(400)
        self.headers[name] = value

    def on_headers_complete(self) -> None:
        self.size, self.headed = 0, True
        length, coding = self.headers.get(b"content-length"), self.headers.get(b"transfer-encoding")
        # Guards against a body whose end can be seen in two ways: it may hide another request.
        if coding is not None and (length is not None or coding.lower() != b"chunked"):
            raise BadRequest(400)
        if length is not None and (not length.isdigit() or len(length) > 15):
            raise BadRequest(400)
        self._grow(int(length or b"0"), self.front.body_most, 413)
        self.size = 0
        alone = self.number is None and not self.waiting  # else it would land within another's answer
        if alone and self.headers.get(b"expect", b"").lower() == b"100-continue":
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._grow(len(body), self.front.body_most, 413)
        self.frame = 0
        self.content.append(body)

    def on_message_complete(self) -> None:
        self.last, self.partial, self.asked = not self.parser.should_keep_alive(), False, True
        try:
            self.waiting.append(self._read())
        except BadRequest as error:
            self.waiting.append(error.status)
        except httptools.HttpParserError:
            self.waiting.append(400)
        if len(self.waiting) > WAITING_MOST:
            raise BadRequest(400)

    def _read(self) -> Ask | int:
        """The request that has come whole, or a status that answers it; `BadRequest` for a bad one."""
        url = httptools.parse_url(self.url)
        path, query = (url.path or b"").decode("latin-1"), (url.query or b"").decode("latin-1")
        method = self.parser.get_method().decode("latin-1")
        if path == "/_health" and method == "GET":  # the front asks for readiness: no in a drain or a stop
            return HEALTHY if self.front.readiness.ready() else UNREADY
        ask = read_ask(method, path, query, self.headers, b"".join(self.content))
        return self.front.status_of(ask) or ask

    def _grow(self, by: int, most: int, status: int) -> None:
        self.size += by
        if self.size > most:
            raise BadRequest(status)

    def _refuse_input(self, status: int) -> None:
        """What came can't be read on from here: one answer more, then the connection closes."""
        self.waiting.append(status)
        self.last = self.refused = True

    def time_up(self) -> None:
        """The request that has begun to come has not come whole in its time."""
        self._refuse_input(408)
        self._next()
        if self.waiting:  # it has not even read its answers: nothing else would ever end it
            self.drop()

    def is_quiet(self) -> bool:
        """Whether nothing that the client has sent lies unread."""
        return self._is_over() or self.unread is None or not self.unread.poll(0)

    def has_left(self) -> bool:
        """Whether the client has closed, though what it sent before may still lie unread.

        Guards against work for a client that has gone: nothing tells of its end while reading is paused, nor
        before a request that waited long to be read has been taken.
        """
        return self._is_over() or (self.unread is not None and has_ended(self.unread))

    def _is_over(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def is_sending(self, now_ms: float) -> bool:
        """Whether some of the last answer has not even left this process, and its client may still wait."""
        if self.transport is None or now_ms >= self.patience_ms:
            return False
        return self.transport.get_write_buffer_size() > 0

    def owes(self, now_ms: float) -> bool:
        """Whether an answer is owed here, or would be for what has begun to come."""
        if self._is_over():
            return False
        open_or_coming = self.number is not None or bool(self.waiting) or (self.partial and not self.last)
        return open_or_coming or self.is_sending(now_ms) or not (self.last or self.is_quiet())

    def part(self) -> None:
        """End the connection from this side: the client sees its end, and what it still sends is dropped.

        Guards against a close over unread bytes, which would reset the answer just written away; and against
        taking a request that crosses the end: its answer would find nobody.
        """
        self.last = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()
            self.transport.write_eof()
            self.front.parting(self)

    def leave(self) -> None:
        self.leaving = True
        self.drop()

    def drop(self) -> None:
        """An end without a word, for who has left or makes room; what is open here ends with it."""
        if self.transport is not None:
            self.transport.abort()

    def _next(self) -> None:
        """Take requests in their order, one at a time, and none while the client leaves answers unread.

        Guards against answers made ahead for a client that asks on and on and reads nothing.
        """
        if self.taking:
            return
        self.taking = True  # an answer at once comes back here
        while self.number is None and self.waiting and not self.full and self.transport is not None:
            if self.has_left():
                self.front.counters.add("clients.left_unread")
                self.waiting.clear()
                self.drop()
                break
            ask = self.waiting.popleft()
            if not isinstance(ask, int) and not self.front.claim(ask):
                ask = 409
            if ask == UNREADY:
                self.front.counters.add("clients.health_unready")
                self._write_status(503, ["Retry-After: 1"])
                self._after_answer()
            elif isinstance(ask, int):
                if ask != HEALTHY:
                    self.front.counters.add(f"clients.bad_input_{ask}")
                self._write_status(ask)
                self._after_answer()
            else:
                self.patience_ms = self.front.clock() + ask.wait_ms
                self._begin(ask)
        self.taking = False
        self.front.settle(self)

    def _begin(self, ask: Ask) -> None:
        self.ask = ask
        self.number = -1  # stands for the number until it is known: an answer may come before it
        number = self.exchange.take(ask, self)
        if self.number == -1:
            self.number = number

    def _release(self) -> None:
        ask, self.ask = self.ask, None
        if ask is not None:
            self.front.release(ask)

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
        self._release()
        self.drop()

    def finish(self, final: Final, retry_after_ms: float) -> None:
        if final is Final.REFUSED:  # whole seconds are what HTTP has; under one would read as 'at once'
            fields = [f"Retry-After: {max(1, math.ceil(retry_after_ms / 1000.0))}"]
            if retry_after_ms and self.front.hold_off:
                fields.append(f"Hold-Off-Ms: {round(retry_after_ms)}")
            self._write_status(503, fields)
        else:
            self._write_status(502)
        self._after_answer()

    def _write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def _with_close(self, lines: list[str]) -> bytes:
        if self._ends_here():
            self.last = True  # who is told so sends no more here: a request that crosses it is not taken
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _ends_here(self) -> bool:
        """Whether this answer is the last; not while another request has come, or has begun to."""
        if self.waiting or self.last:
            return self.last and not self.waiting
        ends = self.front.closing or self.front.readiness.draining
        return ends and not self.partial and self.is_quiet()

    def _write_status(self, status: int, more: list[str] | None = None) -> None:
        reason = b"OK" if status == 200 else REASONS[status]
        lines = [f"HTTP/1.1 {status} {reason.decode()}", "Content-Length: 0", *(more or ())]
        self._write(self._with_close(lines))

    def _after_answer(self) -> None:
        self.number = None
        self._release()
        if self.transport is not None and not self.waiting:
            if self.last:
                self.part()
            elif self.paused:
                self.paused = False
                self.transport.resume_reading()
        self._next()

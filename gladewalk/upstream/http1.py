"""HTTP/1.1 to a server (RFC 9112): one attempt or health check at a time on a connection."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

import httptools

from .. import interface as api
from ..config.platform import Address
from ..core.exchange import Attempt, AttemptResult, ResponseHead
from ..core.response_buffer import MAX_OBJECT_BYTES
from ..net.sockets import MAX_FRAMING_BYTES, socket_poll, write_now
from .protocol_fields import (
    AUTHORITY,
    MAX_HEAD_BYTES,
    InvalidResponseError,
    read_content_length,
    read_result,
    request_fields,
    request_path,
)
from .reuse_delay import ReuseDelay
from .work_items import ConnectionOwner, HealthCheck, WorkItem


class Http1Server(Protocol):
    """What an HTTP/1.1 connection needs of the server that it leads to."""

    @property
    def pool(self) -> ConnectionOwner:
        """The pool that owns the server's connections."""

    @property
    def address(self) -> Address:
        """Where the server is dialled now."""

    def release(self, connection: Http1Connection) -> None:
        """Takes a connection back that has nothing in flight any more."""

    def forget(self, connection: Http1Connection) -> None:
        """Removes a connection that is closed from the idle ones, if it is among them."""

    @property
    def name(self) -> str:
        """The server's name in the endpoint list."""

    @property
    def rest(self) -> ReuseDelay:
        """How long its connections rest after each response."""


def encode_health_check(check: HealthCheck) -> bytes:
    """Returns a health check as an HTTP/1.1 message."""
    return f"GET {check.path} HTTP/1.1\r\nHost: {AUTHORITY}\r\n\r\n".encode()


def encode_request(attempt: Attempt, now_ms: float) -> bytes:
    """Returns an attempt as an HTTP/1.1 message."""
    request = attempt.open_request.request
    lines = [f"{request.method} {request_path(attempt)} HTTP/1.1", f"Host: {AUTHORITY}"]
    lines += [f"{name}: {value}" for name, value in request_fields(attempt, now_ms)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + request.body


class Http1Connection(asyncio.Protocol):
    """One connection to a server, with one work item in flight or idle.

    Attributes:
        item: The attempt or health check in flight.
        address: Where the connection was dialled; the server may have moved since.
        released_ms: When its last response was complete, steady milliseconds.
        reused_after_ms: How long it had rested when it was used again; 0 on its first use.
        idle_until_ms: Until when it may be used while it is idle, steady milliseconds.
        last_trace_id: Of the attempt that it carried last; empty: a health check, or none.
        has_carried: Whether a request was sent on it.
        read_bytes: Bytes of the response's head, then of its body.
        framing_bytes: Bytes read since the last ones of a body (chunk sizes, extensions, trailers).
        is_forwarded: Whether the response goes to a client.
        pending_head: A head that was parsed in this read and not yet forwarded.
        pending_body: The same of the body.
    """

    def __init__(self, server: Http1Server) -> None:
        self.server, self.pool, self.address = server, server.pool, server.address
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.item: WorkItem | None = None
        self.released_ms = self.idle_until_ms = self.reused_after_ms = 0.0
        self.last_trace_id = ""
        self.has_carried = False
        self.status = self.read_bytes = 0
        self.framing_bytes = 0
        self.has_complete_head = self.is_forwarded = self.is_complete = self.is_reusable = False
        self.headers: dict[bytes, bytes] = {}
        self.pending_head: ResponseHead | None = None
        self.pending_body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's does not inherit from it
        self.poll = socket_poll(self.transport)
        self.pool.open_connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is closed; ends the work item in flight."""
        transport, self.transport = self.transport, None
        self.pool.open_connections.discard(self)
        self.server.forget(self)
        item, self.item = self.item, None
        if item is not None:
            # A request that was not written completely never ran; a complete one may have, in any case.
            is_written = transport is not None and transport.get_write_buffer_size() == 0
            status = api.Status.RESET if is_written else api.Status.CONNECT_FAILED
            self.pool.finish(item, AttemptResult(status))
        self.pool.serve_waiting()

    def send(self, item: WorkItem) -> None:
        """Sends a work item's request; the connection must be open and idle."""
        assert self.transport is not None
        item.carrier = self
        now_ms = self.pool.clock()
        self.reused_after_ms = now_ms - self.released_ms if self.has_carried else 0.0
        self.has_carried = True
        self.last_trace_id = item.open_request.request.trace_id if isinstance(item, Attempt) else ""
        request = self.encode(item, now_ms) if isinstance(item, Attempt) else encode_health_check(item)
        self.item, self.status, self.read_bytes, self.framing_bytes, self.headers = item, 0, 0, 0, {}
        self.has_complete_head = self.is_forwarded = self.is_complete = self.is_reusable = False
        self.pending_head = None
        self.pending_body.clear()
        write_now(self.transport, request)

    def encode(self, attempt: Attempt, now_ms: float) -> bytes:
        """Returns an attempt's request as bytes; a subclass may speak another dialect of HTTP/1.1."""
        return encode_request(attempt, now_ms)

    def cancel(self, item: WorkItem) -> None:
        """Abandons the work item in flight by closing the connection."""
        self.close()

    def close(self) -> None:
        """Closes the connection at once; a work item in flight gets no result."""
        self.item = None
        if self.transport is not None:
            self.transport.abort()

    def set_reading(self, item: WorkItem, on: bool) -> None:
        """Resumes (`on`) or pauses reading the response."""
        if self.transport is not None:
            if on:
                self.transport.resume_reading()
            else:
                self.transport.pause_reading()

    def is_quiet(self) -> bool:
        """Whether the server has neither sent anything since its last response nor closed.

        Unread bytes after a response would be taken for the next request's response.
        """
        return self.transport is not None and not self.transport.is_closing() and not self.poll.poll(0)

    def data_received(self, data: bytes) -> None:
        """Parses a piece of the response and forwards what is valid of it."""
        if self.item is None:  # no request is in flight: a correct server sends nothing now
            self._note_surplus(self.pool.clock() - self.released_ms)
            return self.close()
        has_surplus = False
        self.framing_bytes += len(data)
        try:
            self.parser.feed_data(data)
            if not self.has_complete_head:
                self._count_bytes(len(data), MAX_HEAD_BYTES)
        except (InvalidResponseError, httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if isinstance(error, httptools.HttpParserCallbackError) and not isinstance(
                error.__context__, InvalidResponseError
            ):
                raise
            has_surplus = self.is_complete
            if not has_surplus:
                return self._fail()
        if self.has_complete_head and not self.is_complete and self.framing_bytes > MAX_FRAMING_BYTES:
            return self._fail()
        if self.pending_body or self.pending_head is not None:
            self._forward()
        if self.is_complete and self.item is not None:
            self._finish(has_surplus)

    def _forward(self) -> None:
        """Forwards what this read gave, once all of it has proved valid."""
        head, self.pending_head = self.pending_head, None
        if head is not None and isinstance(self.item, Attempt):
            self.is_forwarded = self.pool.exchange.response_started(self.item, head)
        for body in self.pending_body:
            if self.is_forwarded and isinstance(self.item, Attempt):  # a client may disconnect in between
                self.pool.exchange.response_body(self.item, body)
        self.pending_body.clear()

    def _fail(self) -> None:
        """Ends the work item in flight and the connection: the response is invalid."""
        item = self.item
        self.pool.counters.add("caches.unreadable_answer")
        self.close()
        if item is not None:
            self.pool.finish(item, AttemptResult(api.Status.ERROR))

    def _finish(self, has_surplus: bool) -> None:
        """Ends the work item: its response is complete and the whole read has been checked.

        Only now may the connection be used again; bytes after the response end it.
        """
        item, self.item = self.item, None
        assert item is not None
        if has_surplus:
            self._note_surplus(0.0)
        if self.transport is not None and self.is_reusable and not has_surplus:
            self.transport.resume_reading()
            self.server.release(self)
        else:
            self.close()
        self.pool.finish(item, read_result(self.status, self.headers))

    def _note_surplus(self, lateness_ms: float) -> None:
        """Counts and logs bytes behind a complete response.

        They are a second response, or the right one to a request that was answered by a second response to
        the request before, which then came after the connection had rested.
        """
        self.pool.counters.add("caches.surplus")
        self.server.rest.surplus_read(self.pool.clock(), max(lateness_ms, self.reused_after_ms))
        self.pool.exchange.request_log.surplus_read(self.server.name, self.last_trace_id, lateness_ms)

    def _count_bytes(self, count: int, maximum: int) -> None:
        self.read_bytes += count
        if self.read_bytes > maximum:
            raise InvalidResponseError(f"{self.read_bytes} bytes, at most {maximum} are read")

    # Called by httptools.

    def on_message_begin(self) -> None:
        """The first byte of a response."""
        if self.is_complete:
            raise InvalidResponseError("a second response to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        """A field of the head or the trailer."""
        name = name.lower()
        if name == b"content-length" and name in self.headers:
            raise InvalidResponseError("two Content-Length fields")
        self.headers[name] = value

    def on_headers_complete(self) -> None:
        """The head is complete; rejects a body whose end is ambiguous (RFC 9112, section 6.3)."""
        self.status = self.parser.get_status_code()
        if self.status < 200:
            return
        length = read_content_length(self.headers)
        is_chunked = self.headers.get(b"transfer-encoding", b"").lower() == b"chunked"
        # Here, before anything of it reaches the client.
        if self.status != 304 and (length is None) != is_chunked:
            raise InvalidResponseError("a body whose end is ambiguous")
        if length is not None and length > MAX_OBJECT_BYTES:
            raise InvalidResponseError(f"a body of {length} bytes is announced")
        self.has_complete_head, self.read_bytes = True, 0
        if self.status in (200, 304) and isinstance(self.item, Attempt):
            etag = self.headers.get(b"tag")
            decoded_etag = etag.decode("latin-1") if etag else None
            self.pending_head = ResponseHead(self.status == 304, length, decoded_etag)

    def on_body(self, body: bytes) -> None:
        """A piece of the body."""
        self.framing_bytes = 0
        self.read_bytes += len(body)
        if self.read_bytes > MAX_OBJECT_BYTES:
            raise InvalidResponseError(f"a body of more than {MAX_OBJECT_BYTES} bytes")
        self.pending_body.append(body)

    def on_message_complete(self) -> None:
        """The response is complete, or an interim one that the final one follows."""
        if self.status < 200:
            self.headers = {}
        else:
            self.is_complete, self.is_reusable = True, self.parser.should_keep_alive()

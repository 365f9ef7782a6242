"""HTTP/1.1 to a server (RFC 9112): one attempt or health check at a time on a connection."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

import httptools

from .. import interface as api
from ..config.platform import Address
from ..core.exchange import Attempt, AttemptResult, ResponseHead
from ..core.response_buffer import MAX_OBJECT_BYTES
from ..limits.memory_plan import LARGE_READ_BYTES
from ..net.bounded_reads import SLICE_BYTES, BoundedReads
from ..net.sockets import MAX_FRAMING_BYTES, socket_poll, write_now
from .protocol_fields import (
    AUTHORITY,
    MAX_FIELDS,
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
    """The part of a server's record that an HTTP/1.1 connection uses."""

    @property
    def pool(self) -> ConnectionOwner:
        """The pool that owns the server's connections."""

    @property
    def address(self) -> Address:
        """Where the server is dialled now."""

    def release(self, connection: Http1Connection) -> None:
        """Adds a connection without a request in flight to the idle ones."""

    def forget(self, connection: Http1Connection) -> None:
        """Removes a closed connection from the idle ones, if it is among them."""

    @property
    def name(self) -> str:
        """The server's name in the endpoint list."""

    @property
    def reuse_delay(self) -> ReuseDelay:
        """How long the server's connections are not reused after each response."""


def encode_health_check(check: HealthCheck) -> bytes:
    """Returns a health check as an HTTP/1.1 message."""
    return f"GET {check.path} HTTP/1.1\r\nHost: {AUTHORITY}\r\n\r\n".encode()


def encode_request(attempt: Attempt, now_ms: float) -> bytes:
    """Returns an attempt as an HTTP/1.1 message."""
    request = attempt.open_request.request
    lines = [f"{request.method} {request_path(attempt)} HTTP/1.1", f"Host: {AUTHORITY}"]
    lines += [f"{name}: {value}" for name, value in request_fields(attempt, now_ms)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + request.body


class Http1Connection(BoundedReads):
    """One connection to a server, with one work item in flight or idle.

    Attributes:
        item: The attempt or health check in flight.
        address: Where the connection was dialled; the server may have moved since.
        released_ms: When its last response was complete, steady milliseconds.
        reused_after_ms: How long it was idle before its last request; 0 for its first request.
        idle_until_ms: Until when the idle connection may be reused, steady milliseconds.
        last_trace_id: The trace id of the attempt that it carried last; empty after a health check, and
            before the first request.
        has_carried: Whether a request was sent on it.
        read_bytes: Received bytes of the response's head, and of its body once the head is complete.
        framing_bytes: Bytes received since the last body bytes (chunk sizes, extensions, trailers).
        is_forwarded: Whether the response is forwarded to a client.
        pending_head: A response head that was parsed in this read and is not forwarded yet.
        pending_body: Pieces of the body that were parsed in this read and are not forwarded yet.
        field_count: Number of fields of the response's head and trailer.
        has_room: Whether there is room in memory for the response, so that it is read.
    """

    def __init__(self, server: Http1Server) -> None:
        super().__init__(server.pool.read_turns)
        self.server, self.pool, self.address = server, server.pool, server.address
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.item: WorkItem | None = None
        self.released_ms = self.idle_until_ms = self.reused_after_ms = 0.0
        self.last_trace_id = ""
        self.has_carried = False
        self.status = self.read_bytes = 0
        self.framing_bytes = self.field_count = 0
        self.has_room = True
        self.has_complete_head = self.is_forwarded = self.is_complete = self.is_reusable = False
        self.headers: dict[bytes, bytes] = {}
        self.pending_head: ResponseHead | None = None
        self.pending_body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called when the connection is open."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport does not inherit from it
        self.poll = socket_poll(self.transport)
        self.pool.open_connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Called when the connection is closed; ends the work item in flight."""
        transport, self.transport = self.transport, None
        self.pool.open_connections.discard(self)
        self.server.forget(self)
        self.parser = None  # it refers to the connection: the cycle would stay until the next collection
        item, self.item = self.item, None
        if item is not None:
            # An incompletely written request cannot have been processed; a complete one may have been.
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
        self.field_count = 0
        self.has_complete_head = self.is_forwarded = self.is_complete = self.is_reusable = False
        self.pending_head = None
        self.pending_body.clear()
        write_now(self.transport, request)

    def encode(self, attempt: Attempt, now_ms: float) -> bytes:
        """Returns an attempt's request as bytes; a subclass may use another variant of HTTP/1.1."""
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
        self.has_room = on
        if on:
            self.resume_reading()
        elif self.transport is not None:
            self.transport.pause_reading()

    def wants_input(self) -> bool:
        """Whether there is room for what is read."""
        return self.has_room

    def slice_bytes(self) -> int:
        """Returns a whole read for a body of known length, which takes few calls of the parser."""
        return LARGE_READ_BYTES if b"content-length" in self.headers else SLICE_BYTES

    def is_input_empty(self) -> bool:
        """Whether the server has neither sent anything since its last response nor closed the connection.

        Unread bytes after a response would be taken for the next request's response.
        """
        if self.transport is None or self.transport.is_closing() or self.has_unhandled_read:
            return False
        return not self.poll.poll(0)

    def data_received(self, data: bytes) -> None:
        """Parses a piece of the response and forwards what is valid of it."""
        if self.item is None:  # without a request in flight, a correct server sends nothing
            self._note_surplus(self.pool.clock() - self.released_ms)
            return self.close()
        assert self.parser is not None
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
        """Forwards the head and body parsed in this read, after all bytes of the read were found valid."""
        head, self.pending_head = self.pending_head, None
        if head is not None and isinstance(self.item, Attempt):
            self.is_forwarded = self.pool.exchange.response_started(self.item, head)
        for body in self.pending_body:
            # The client may disconnect between two pieces.
            if self.is_forwarded and isinstance(self.item, Attempt):
                self.pool.exchange.response_body(self.item, body)
        self.pending_body.clear()

    def _fail(self) -> None:
        """Ends the work item in flight and closes the connection, as the response is invalid."""
        item = self.item
        self.pool.counters.add("caches.unreadable_answer")
        self.close()
        if item is not None:
            self.pool.finish(item, AttemptResult(api.Status.ERROR))

    def _finish(self, has_surplus: bool) -> None:
        """Ends the work item, whose response is complete, after the whole read was checked.

        Only now may the connection be reused. It is closed instead if bytes follow the response.
        """
        item, self.item = self.item, None
        assert item is not None
        if has_surplus:
            self._note_surplus(0.0)
        if self.transport is not None and self.is_reusable and not has_surplus:
            self.has_room = True
            self.resume_reading()
            self.server.release(self)
        else:
            self.close()
        self.pool.finish(item, read_result(self.status, self.headers))

    def _note_surplus(self, elapsed_ms: float) -> None:
        """Counts and logs surplus bytes, received after a complete response.

        They are either a duplicate response, or the response to a request that has already got the duplicate
        of the previous response, because that duplicate was received after the reuse delay.

        Args:
            elapsed_ms: The time between the response's end and these bytes.
        """
        self.pool.counters.add("caches.surplus")
        self.server.reuse_delay.record_surplus_bytes(self.pool.clock(), max(elapsed_ms, self.reused_after_ms))
        self.pool.exchange.request_log.surplus_read(self.server.name, self.last_trace_id, elapsed_ms)

    def _count_bytes(self, count: int, maximum: int) -> None:
        self.read_bytes += count
        if self.read_bytes > maximum:
            raise InvalidResponseError(f"{self.read_bytes} bytes were read, at most {maximum} are allowed")

    # Called by httptools.

    def on_message_begin(self) -> None:
        """Called at the first byte of a response."""
        if self.is_complete:
            raise InvalidResponseError("a duplicate response to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called with a field of the head or the trailer."""
        self.field_count += 1
        if self.field_count > MAX_FIELDS:
            raise InvalidResponseError(f"more than {MAX_FIELDS} fields")
        name = name.lower()
        if name == b"content-length" and name in self.headers:
            raise InvalidResponseError("two Content-Length fields")
        self.headers[name] = value

    def on_headers_complete(self) -> None:
        """Called when the head is complete; rejects a body with an ambiguous end (RFC 9112, section 6.3)."""
        assert self.parser is not None
        self.status = self.parser.get_status_code()
        if self.status < 200:
            return
        length = read_content_length(self.headers)
        is_chunked = self.headers.get(b"transfer-encoding", b"").lower() == b"chunked"
        # The framing is checked here, before any of the response is forwarded to the client.
        if self.status != 304 and (length is None) != is_chunked:
            raise InvalidResponseError("a body with an ambiguous end")
        if length is not None and length > MAX_OBJECT_BYTES:
            raise InvalidResponseError(f"a body of {length} bytes is announced")
        self.has_complete_head, self.read_bytes = True, 0
        if self.status in (200, 304) and isinstance(self.item, Attempt):
            etag = self.headers.get(b"tag")
            decoded_etag = etag.decode("latin-1") if etag else None
            self.pending_head = ResponseHead(self.status == 304, length, decoded_etag)

    def on_body(self, body: bytes) -> None:
        """Called with a piece of the body."""
        self.framing_bytes = 0
        self.read_bytes += len(body)
        if self.read_bytes > MAX_OBJECT_BYTES:
            raise InvalidResponseError(f"a body of more than {MAX_OBJECT_BYTES} bytes")
        self.pending_body.append(body)

    def on_message_complete(self) -> None:
        """Called when a response is complete: the final one, or an interim one before it."""
        assert self.parser is not None
        if self.status < 200:
            self.headers = {}
        else:
            self.is_complete, self.is_reusable = True, self.parser.should_keep_alive()

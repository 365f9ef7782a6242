"""HTTP/1.1 connections to the servers of an upstream, with responses of any status, length and fields."""

from __future__ import annotations

import httptools

from .. import interface as api
from ..core.deadlines import DeadlineKey
from ..core.exchange import Attempt
from ..core.response_buffer import MAX_OBJECT_BYTES
from ..upstream.http1 import Http1Connection
from ..upstream.protocol_fields import InvalidResponseError, read_content_length
from ..upstream.upstream_server import UpstreamServer
from ..upstream.work_items import WorkItem
from .messages import (
    BAD_GATEWAY,
    BODILESS_STATUSES,
    GATEWAY_TIMEOUT,
    Fields,
    ProxyRequest,
    ProxyResponseHead,
    ProxyResult,
    condition_of_status,
    encode_request,
)
from .upstream_exchange import UpstreamExchange

FIRST_FINAL_STATUS = 200  # lower statuses are interim responses (RFC 9110, section 15.2)
SWITCHING_PROTOCOLS = 101
# If a request is retried elsewhere because of the status of a response, the body of that response is read and
# discarded up to this size, so that the connection can be reused. A longer body counts as an invalid response
# and closes the connection.
MAX_DISCARDED_BYTES = MAX_OBJECT_BYTES


class UpstreamConnection(Http1Connection):
    """A connection to an ordinary server; the pool and the exchange use it like any `Http1Connection`.

    Attributes:
        upstream_exchange: The exchange of the server's upstream.
        fields: The fields of the response, in order, repeated ones too.
        is_body_until_close: Whether the end of the connection marks the end of the response's body.
        is_bodiless: Whether the response has no body (HEAD, 204 or 304).
        is_paused: Whether reading is paused because the client reads more slowly than the server sends.
        last_read_ms: When the request was written or bytes were last received, steady milliseconds.
        read_timer: The deadline of the read timeout.
    """

    def __init__(self, server: UpstreamServer) -> None:
        super().__init__(server)
        exchange = self.pool.exchange
        assert isinstance(exchange, UpstreamExchange)
        self.upstream_exchange = exchange
        self.fields: Fields = []
        self.is_body_until_close = False
        self.is_bodiless = False
        self.is_paused = False
        self.last_read_ms = 0.0
        self.read_timer: DeadlineKey | None = None

    @property
    def request(self) -> ProxyRequest | None:
        """The client's request in flight; None while idle or during a health check."""
        request = self.item.open_request.request if isinstance(self.item, Attempt) else None
        return request if isinstance(request, ProxyRequest) else None

    def encode(self, attempt: Attempt, now_ms: float) -> bytes:
        """Returns the bytes of an attempt's request, which the caller writes, and starts the read timeout."""
        request = attempt.open_request.request
        assert isinstance(request, ProxyRequest)
        self.fields = []
        self.is_body_until_close = self.is_bodiless = self.is_paused = False
        self.last_read_ms = now_ms
        self.upstream_exchange.request_written(attempt)
        self._start_read_timer(request.proxy.read_timeout_ms)
        return encode_request(request)

    # The read timeout (proxy_read_timeout): the longest time between two reads.

    def _start_read_timer(self, read_timeout_ms: float) -> None:
        self.pool.deadlines.drop(self.read_timer)
        self.read_timer = self.pool.deadlines.add(
            self.last_read_ms + read_timeout_ms, lambda: self._read_timed_out(read_timeout_ms)
        )

    def _read_timed_out(self, read_timeout_ms: float) -> None:
        self.read_timer = None
        if self.item is None:
            return
        now_ms = self.pool.clock()
        if self.is_paused:  # the delay is the client's, not the server's
            self.last_read_ms = now_ms
        if now_ms < self.last_read_ms + read_timeout_ms:
            self._start_read_timer(read_timeout_ms)
            return
        item = self.item
        self.close()
        result = ProxyResult(api.Status.TIMEOUT, condition="timeout", response_status=GATEWAY_TIMEOUT)
        self.pool.finish(item, result)

    def set_reading(self, item: WorkItem, on: bool) -> None:
        """Resumes (`on`) or pauses reading; the read timeout does not run while reading is paused."""
        self.is_paused = not on
        super().set_reading(item, on)

    def close(self) -> None:
        """Abandons the work item in flight and aborts the connection."""
        self.pool.deadlines.drop(self.read_timer)
        super().close()

    def data_received(self, data: bytes) -> None:
        """Records the time of the read and parses the bytes."""
        self.last_read_ms = self.pool.clock()
        super().data_received(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the attempt; a response without a length is complete when its connection closes.

        RFC 9112, section 6.3.
        """
        self.pool.deadlines.drop(self.read_timer)
        if self.is_body_until_close and self.has_complete_head and error is None and self.item is not None:
            item, self.item = self.item, None
            super().connection_lost(None)
            self.pool.finish(item, self._result())
            return
        super().connection_lost(error)

    # Called by httptools.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a field of the head or the trailer."""
        super().on_header(name, value)
        self.fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Decides, at the end of the head, how the body ends and whether the response is forwarded."""
        assert self.parser is not None
        self.status = self.parser.get_status_code()
        if self.status < FIRST_FINAL_STATUS:
            if self.status == SWITCHING_PROTOCOLS:  # no upgrade was requested
                raise InvalidResponseError("unrequested protocol switch")
            self.fields = []
            return
        content_length, is_chunked = self._read_framing()
        request = self.request
        is_head = request is not None and request.verb == "HEAD"
        self.is_bodiless = is_head or self.status in BODILESS_STATUSES
        self.is_body_until_close = not self.is_bodiless and content_length is None and not is_chunked
        self.has_complete_head, self.read_bytes = True, 0
        self.is_reusable = self.parser.should_keep_alive()
        condition = condition_of_status(self.status)
        if request is not None and not self.upstream_exchange.retries_status(request, condition):
            self.pending_head = ProxyResponseHead(False, content_length, None, self.status, self.fields)
        self.is_complete = self.is_bodiless

    def _read_framing(self) -> tuple[int | None, bool]:
        """Returns the body's length (None if not stated) and whether the body is chunked.

        Raises:
            InvalidResponseError: The end of the body is ambiguous, or its transfer coding is not supported.
        """
        content_length = read_content_length(self.headers)
        is_chunked = self.headers.get(b"transfer-encoding", b"").lower() == b"chunked"
        if b"content-length" in self.headers and (is_chunked or content_length is None):
            raise InvalidResponseError("ambiguous body length")
        if b"transfer-encoding" in self.headers and not is_chunked:
            raise InvalidResponseError("unsupported transfer coding")
        return content_length, is_chunked

    def on_body(self, body: bytes) -> None:
        """Keeps a piece of the body to forward it; discards it, up to a limit, if the request is retried."""
        self.framing_bytes = 0
        if self.is_bodiless:  # these are surplus bytes: the response was complete with its head
            raise InvalidResponseError("body in a response to HEAD, or with status 204 or 304")
        if self.pending_head is not None or self.is_forwarded:
            self.pending_body.append(body)
        else:
            self._count_bytes(len(body), MAX_DISCARDED_BYTES)

    def on_message_complete(self) -> None:
        """Marks the response complete, unless it is an interim one or ends when its connection closes."""
        if self.status < FIRST_FINAL_STATUS:
            self.headers = {}
        elif not self.is_body_until_close:
            self.is_complete = True

    # The end of the response.

    def _finish(self, has_surplus: bool) -> None:
        """Ends the attempt as the base class does, with a result that contains the server's status."""
        item, self.item = self.item, None
        assert item is not None
        self.pool.deadlines.drop(self.read_timer)
        if self.is_bodiless:  # this parser still expects a body; the next response needs a new parser
            self.parser = httptools.HttpResponseParser(self)
        if has_surplus:
            self._note_surplus(0.0)
        if self.transport is not None and self.is_reusable and not has_surplus:
            self.has_room = True
            self.resume_reading()
            self.server.release(self)
        else:
            self.close()
        self.pool.finish(item, self._result())

    def _result(self) -> ProxyResult:
        condition = condition_of_status(self.status)
        if condition and not self.is_forwarded:
            return ProxyResult(api.Status.ERROR, condition=condition, response_status=self.status)
        # Reported as filled, not as a hit: the duration depends on the request and does not show the server's
        # load. If the core weighted servers by it, the server that responds fastest would get all requests.
        return ProxyResult(
            api.Status.OK, api.OutcomeDetail.FILLED, condition=condition, response_status=self.status
        )

    def _fail(self) -> None:
        item = self.item
        self.pool.counters.add("web.unreadable_answer")
        self.close()
        if item is not None:
            result = ProxyResult(api.Status.ERROR, condition="invalid_header", response_status=BAD_GATEWAY)
            self.pool.finish(item, result)

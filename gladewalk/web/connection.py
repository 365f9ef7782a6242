"""HTTP/1.1 to a server of an upstream: any status, any length, any fields."""

from __future__ import annotations

import httptools

from .. import interface as api
from ..core.deadlines import DeadlineKey
from ..core.exchange import Attempt
from ..upstream.http1 import Http1Connection
from ..upstream.protocol_fields import MAX_OBJECT_BYTES, InvalidResponseError, read_content_length
from ..upstream.upstream_server import UpstreamServer
from ..upstream.work_items import WorkItem
from .balanced import Balanced
from .wire import NOBODY, Fields, WebAsk, WebEnd, WebHead, condition_of, request_bytes


class PlainConnection(Http1Connection):
    """One connection to an ordinary server; the pool's and the exchange's rules are those of its base."""

    def __init__(self, server: UpstreamServer) -> None:
        super().__init__(server)
        exchange = self.pool.exchange
        assert isinstance(exchange, Balanced)
        self.balanced = exchange
        self.fields: Fields = []
        self.until_close = self.bodiless = False
        self.heard_ms = 0.0
        self.paused = False
        self.due: DeadlineKey | None = None

    @property
    def ask(self) -> WebAsk | None:
        """The request that is carried."""
        ask = self.item.open_request.request if isinstance(self.item, Attempt) else None
        return ask if isinstance(ask, WebAsk) else None

    def encode(self, attempt: Attempt, now_ms: float) -> bytes:
        ask = attempt.open_request.request
        assert isinstance(ask, WebAsk)
        self.fields, self.until_close, self.bodiless, self.paused = [], False, False, False
        self.heard_ms = now_ms
        self.balanced.sent(attempt)
        self._watch(ask.landing.terms.read_ms if ask.landing is not None else 60_000.0)
        return request_bytes(ask)

    # The time between two reads (proxy_read_timeout).

    def _watch(self, read_ms: float) -> None:
        self.pool.deadlines.drop(self.due)
        self.due = self.pool.deadlines.add(self.heard_ms + read_ms, lambda: self._silent(read_ms))

    def _silent(self, read_ms: float) -> None:
        self.due = None
        if self.item is None:
            return
        now = self.pool.clock()
        if self.paused:  # its bytes wait for the client: that is no silence of the server
            self.heard_ms = now
        if now < self.heard_ms + read_ms:
            return self._watch(read_ms)
        item = self.item
        self.close()
        self.pool.finish(item, WebEnd(api.Status.TIMEOUT, condition="timeout", code=504))

    def flow(self, item: WorkItem, on: bool) -> None:
        self.paused = not on
        super().flow(item, on)

    def close(self) -> None:
        self.pool.deadlines.drop(self.due)
        super().close()

    def data_received(self, data: bytes) -> None:
        self.heard_ms = self.pool.clock()
        super().data_received(data)

    def connection_lost(self, error: Exception | None) -> None:
        self.pool.deadlines.drop(self.due)
        # A close is the end of an answer that told no other (RFC 9112, 6.3).
        if self.until_close and self.has_complete_head and error is None and self.item is not None:
            item, self.item = self.item, None
            super().connection_lost(None)
            return self.pool.finish(item, self._end())
        super().connection_lost(error)

    # httptools' calls

    def on_header(self, name: bytes, value: bytes) -> None:
        super().on_header(name, value)
        self.fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()
        if self.status < 200:
            if self.status == 101:  # nothing asked for it
                raise InvalidResponseError("an unrequested switch of protocols")
            self.fields = []
            return
        ask = self.ask
        known = read_content_length(self.headers)
        chunked = self.headers.get(b"transfer-encoding", b"").lower() == b"chunked"
        told = b"content-length" in self.headers
        if told and (chunked or known is None):  # its end could be seen in two ways
            raise InvalidResponseError("a length that is ambiguous")
        if b"transfer-encoding" in self.headers and not chunked:
            raise InvalidResponseError("a transfer coding that is not supported")
        self.bodiless = self.status in NOBODY or (ask is not None and ask.verb == "HEAD")
        self.until_close = not self.bodiless and known is None and not chunked
        self.has_complete_head, self.read_bytes = True, 0
        self.is_reusable = self.parser.should_keep_alive()
        if ask is not None and not self.balanced.wants_another(ask, condition_of(self.status)):
            self.pending_head = WebHead(False, known, None, self.status, self.fields)
        self.is_complete = self.bodiless

    def on_body(self, body: bytes) -> None:
        self.framing_bytes = 0
        if self.bodiless:
            raise InvalidResponseError("a body with HEAD, 204 or 304")  # surplus
        if self.pending_head is not None or self.is_forwarded:
            self.pending_body.append(body)
        else:  # of an answer that is tried elsewhere: read for the connection's sake, within bounds
            self._count_bytes(len(body), MAX_OBJECT_BYTES)

    def on_message_complete(self) -> None:
        if self.status < 200:
            self.headers = {}
        elif not self.until_close:
            self.is_complete = True

    def _finish(self, has_surplus: bool) -> None:
        """As the base, but that its end tells which status the server gave."""
        item, self.item = self.item, None
        assert item is not None
        self.pool.deadlines.drop(self.due)
        if self.bodiless:  # the parser waits for a body that never comes
            self.parser = httptools.HttpResponseParser(self)
        if self.transport is not None and self.is_reusable and not has_surplus:
            self.transport.resume_reading()
            self.server.release(self)
        else:
            self.close()
        self.pool.finish(item, self._end())

    def _end(self) -> WebEnd:
        condition = condition_of(self.status)
        if condition and not self.is_forwarded:
            return WebEnd(api.Status.ERROR, condition=condition, code=self.status)
        # Made, not held: how long it took says what was asked for and not how well the server does, so the
        # core must not weigh servers by it. Guards against one that answers first being given all there is.
        return WebEnd(api.Status.OK, api.OutcomeDetail.FILLED, condition=condition, code=self.status)

    def _fail(self) -> None:
        item = self.item
        self.pool.counters.add("web.unreadable_answer")
        self.close()
        if item is not None:
            self.pool.finish(item, WebEnd(api.Status.ERROR, condition="invalid_header", code=502))

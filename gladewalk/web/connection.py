"""HTTP/1.1 to a server of an upstream: any status, any length, any fields."""

from __future__ import annotations

import httptools

from .. import interface as api
from ..core.deadlines import DeadlineKey
from ..core.exchange import Attempt
from ..upstream.http1 import CacheConnection
from ..upstream.protocol_fields import OBJECT_MOST, Spoilt, read_length
from ..upstream.upstream_server import Upstream
from ..upstream.work_items import Probing
from .balanced import Balanced
from .wire import NOBODY, Fields, WebAsk, WebEnd, WebHead, condition_of, request_bytes


class PlainConnection(CacheConnection):
    """One connection to an ordinary server; the pool's and the exchange's rules are those of its base."""

    def __init__(self, upstream: Upstream) -> None:
        super().__init__(upstream)
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
        ask = self.job.open_request.request if isinstance(self.job, Attempt) else None
        return ask if isinstance(ask, WebAsk) else None

    def written(self, attempt: Attempt, now_ms: float) -> bytes:
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
        if self.job is None:
            return
        now = self.pool.clock()
        if self.paused:  # its bytes wait for the client: that is no silence of the server
            self.heard_ms = now
        if now < self.heard_ms + read_ms:
            return self._watch(read_ms)
        job = self.job
        self.close()
        self.pool.over(job, WebEnd(api.Status.TIMEOUT, condition="timeout", code=504))

    def flow(self, job: Attempt | Probing, on: bool) -> None:
        self.paused = not on
        super().flow(job, on)

    def close(self) -> None:
        self.pool.deadlines.drop(self.due)
        super().close()

    def data_received(self, data: bytes) -> None:
        self.heard_ms = self.pool.clock()
        super().data_received(data)

    def connection_lost(self, error: Exception | None) -> None:
        self.pool.deadlines.drop(self.due)
        # A close is the end of an answer that told no other (RFC 9112, 6.3).
        if self.until_close and self.headed and error is None and self.job is not None:
            job, self.job = self.job, None
            super().connection_lost(None)
            return self.pool.over(job, self._end())
        super().connection_lost(error)

    # httptools' calls

    def on_header(self, name: bytes, value: bytes) -> None:
        super().on_header(name, value)
        self.fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()
        if self.status < 200:
            if self.status == 101:  # nothing asked for it
                raise Spoilt
            self.fields = []
            return
        ask = self.ask
        known = read_length(self.headers)
        chunked = self.headers.get(b"transfer-encoding", b"").lower() == b"chunked"
        told = b"content-length" in self.headers
        if told and (chunked or known is None):  # its end could be seen in two ways
            raise Spoilt
        if b"transfer-encoding" in self.headers and not chunked:
            raise Spoilt
        self.bodiless = self.status in NOBODY or (ask is not None and ask.verb == "HEAD")
        self.until_close = not self.bodiless and known is None and not chunked
        self.headed, self.size = True, 0
        self.lasts = self.parser.should_keep_alive()
        if ask is not None and not self.balanced.wants_another(ask, condition_of(self.status)):
            self.begun = WebHead(False, known, None, self.status, self.fields)
        self.whole = self.bodiless

    def on_body(self, body: bytes) -> None:
        self.frame = 0
        if self.bodiless:
            raise Spoilt  # bytes that no HEAD, 204 or 304 has: surplus
        if self.begun is not None or self.passing:
            self.read.append(body)
        else:  # of an answer that is tried elsewhere: read for the connection's sake, within bounds
            self._grow(len(body), OBJECT_MOST)

    def on_message_complete(self) -> None:
        if self.status < 200:
            self.headers = {}
        elif not self.until_close:
            self.whole = True

    def _over(self, surplus: bool) -> None:
        """As the base, but that its end tells which status the server gave."""
        job, self.job = self.job, None
        assert job is not None
        self.pool.deadlines.drop(self.due)
        if self.bodiless:  # the parser waits for a body that never comes
            self.parser = httptools.HttpResponseParser(self)
        if self.transport is not None and self.lasts and not surplus:
            self.transport.resume_reading()
            self.upstream.rest(self)
        else:
            self.close()
        self.pool.over(job, self._end())

    def _end(self) -> WebEnd:
        condition = condition_of(self.status)
        if condition and not self.passing:
            return WebEnd(api.Status.ERROR, condition=condition, code=self.status)
        # Made, not held: how long it took says what was asked for and not how well the server does, so the
        # core must not weigh servers by it. Guards against one that answers first being given all there is.
        return WebEnd(api.Status.OK, api.OutcomeDetail.FILLED, condition=condition, code=self.status)

    def _spoilt(self) -> None:
        job = self.job
        self.pool.counters.add("web.unreadable_answer")
        self.close()
        if job is not None:
            self.pool.over(job, WebEnd(api.Status.ERROR, condition="invalid_header", code=502))

"""HTTP/1.1 to a server of an upstream: any status, any length, any fields."""

from __future__ import annotations

import httptools

from .. import interface as api
from ..core.deadlines import DeadlineKey
from ..core.exchange import Attempt
from ..upstream.http1 import CacheConnection
from ..upstream.jobs import Probing
from ..upstream.targets import Upstream
from ..upstream.words import OBJECT_MOST, Spoilt, read_length
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

FIRST_FINAL_STATUS = 200  # below are interim responses
SWITCHING_PROTOCOLS = 101
MAX_DISCARDED_BYTES = OBJECT_MOST  # of a body that is read only to keep its connection usable


class UpstreamConnection(CacheConnection):
    """A connection to an ordinary server, under the pool's and the exchange's rules for `CacheConnection`."""

    def __init__(self, upstream: Upstream) -> None:
        super().__init__(upstream)
        exchange = self.pool.exchange
        assert isinstance(exchange, UpstreamExchange)
        self.upstream_exchange = exchange
        self.fields: Fields = []
        self.is_body_until_close = False  # the response ends with the connection
        self.is_bodiless = False
        self.is_paused = False
        self.last_read_ms = 0.0
        self.read_timer: DeadlineKey | None = None

    @property
    def request(self) -> ProxyRequest | None:
        """The request that is carried, None while idle."""
        request = self.job.open_request.request if isinstance(self.job, Attempt) else None
        return request if isinstance(request, ProxyRequest) else None

    def written(self, attempt: Attempt, now_ms: float) -> bytes:
        """Returns the bytes of an attempt's request, which is written next, and starts its read timeout."""
        request = attempt.open_request.request
        assert isinstance(request, ProxyRequest)
        self.fields = []
        self.is_body_until_close = self.is_bodiless = self.is_paused = False
        self.last_read_ms = now_ms
        self.upstream_exchange.request_written(attempt)
        self._start_read_timer(request.proxy.read_timeout_ms)
        return encode_request(request)

    # The time between two reads (proxy_read_timeout).

    def _start_read_timer(self, read_timeout_ms: float) -> None:
        self.pool.deadlines.drop(self.read_timer)
        self.read_timer = self.pool.deadlines.add(
            self.last_read_ms + read_timeout_ms, lambda: self._read_timed_out(read_timeout_ms)
        )

    def _read_timed_out(self, read_timeout_ms: float) -> None:
        self.read_timer = None
        if self.job is None:
            return
        now_ms = self.pool.clock()
        if self.is_paused:  # the client is slow, not the server
            self.last_read_ms = now_ms
        if now_ms < self.last_read_ms + read_timeout_ms:
            self._start_read_timer(read_timeout_ms)
            return
        job = self.job
        self.close()
        result = ProxyResult(api.Status.TIMEOUT, condition="timeout", response_status=GATEWAY_TIMEOUT)
        self.pool.over(job, result)

    def flow(self, job: Attempt | Probing, on: bool) -> None:
        """Resumes (`on`) or pauses reading, which also pauses the read timeout."""
        self.is_paused = not on
        super().flow(job, on)

    def close(self) -> None:
        """Abandons what is carried and aborts the connection."""
        self.pool.deadlines.drop(self.read_timer)
        super().close()

    def data_received(self, data: bytes) -> None:
        """Parses what was read."""
        self.last_read_ms = self.pool.clock()
        super().data_received(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the attempt: a response without a length ends with its connection (RFC 9112, section 6.3)."""
        self.pool.deadlines.drop(self.read_timer)
        if self.is_body_until_close and self.headed and error is None and self.job is not None:
            job, self.job = self.job, None
            super().connection_lost(None)
            self.pool.over(job, self._result())
            return
        super().connection_lost(error)

    # Called by httptools.

    def on_header(self, name: bytes, value: bytes) -> None:
        """A field of the head or the trailer."""
        super().on_header(name, value)
        self.fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """The head is complete: decides how its body ends and whether the response is passed on."""
        self.status = self.parser.get_status_code()
        if self.status < FIRST_FINAL_STATUS:
            if self.status == SWITCHING_PROTOCOLS:  # no upgrade was requested
                raise Spoilt
            self.fields = []
            return
        content_length, is_chunked = self._read_framing()
        request = self.request
        is_head = request is not None and request.verb == "HEAD"
        self.is_bodiless = is_head or self.status in BODILESS_STATUSES
        self.is_body_until_close = not self.is_bodiless and content_length is None and not is_chunked
        self.headed, self.size = True, 0
        self.lasts = self.parser.should_keep_alive()
        condition = condition_of_status(self.status)
        if request is not None and not self.upstream_exchange.retries_status(request, condition):
            self.begun = ProxyResponseHead(False, content_length, None, self.status, self.fields)
        self.whole = self.is_bodiless

    def _read_framing(self) -> tuple[int | None, bool]:
        """Returns the body's length and whether it is chunked; raises `Spoilt` for an ambiguous end."""
        content_length = read_length(self.headers)
        is_chunked = self.headers.get(b"transfer-encoding", b"").lower() == b"chunked"
        if b"content-length" in self.headers and (is_chunked or content_length is None):
            raise Spoilt
        if b"transfer-encoding" in self.headers and not is_chunked:
            raise Spoilt
        return content_length, is_chunked

    def on_body(self, body: bytes) -> None:
        """A piece of the body; of a response that is retried elsewhere it is discarded, within a bound."""
        self.frame = 0
        if self.is_bodiless:  # surplus bytes
            raise Spoilt
        if self.begun is not None or self.passing:
            self.read.append(body)
        else:
            self._grow(len(body), MAX_DISCARDED_BYTES)

    def on_message_complete(self) -> None:
        """The response is complete, unless it is an interim one or ends with its connection."""
        if self.status < FIRST_FINAL_STATUS:
            self.headers = {}
        elif not self.is_body_until_close:
            self.whole = True

    # The response's end.

    def _over(self, surplus: bool) -> None:
        """Ends the attempt as the base class does, with a result that tells the server's status."""
        job, self.job = self.job, None
        assert job is not None
        self.pool.deadlines.drop(self.read_timer)
        if self.is_bodiless:  # the parser would wait for a body
            self.parser = httptools.HttpResponseParser(self)
        if self.transport is not None and self.lasts and not surplus:
            self.transport.resume_reading()
            self.upstream.rest(self)
        else:
            self.close()
        self.pool.over(job, self._result())

    def _result(self) -> ProxyResult:
        condition = condition_of_status(self.status)
        if condition and not self.passing:
            return ProxyResult(api.Status.ERROR, condition=condition, response_status=self.status)
        # Reported as filled, not as a hit: the duration depends on the request and says nothing of the
        # server's load. Weighed by it, the core would give all requests to one that answers fast.
        return ProxyResult(
            api.Status.OK, api.OutcomeDetail.FILLED, condition=condition, response_status=self.status
        )

    def _spoilt(self) -> None:
        job = self.job
        self.pool.counters.add("web.unreadable_answer")
        self.close()
        if job is not None:
            result = ProxyResult(api.Status.ERROR, condition="invalid_header", response_status=BAD_GATEWAY)
            self.pool.over(job, result)

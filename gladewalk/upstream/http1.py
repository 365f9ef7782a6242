"""HTTP/1.1 to a cache: one attempt or probe at a time on a connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

import httptools

from .. import interface as api
from ..core.exchange import Attempt, AttemptResult, ResponseHead
from ..net.sockets import MAX_FRAMING_BYTES, socket_poll
from .protocol_fields import (
    AUTHORITY,
    HEAD_MOST,
    OBJECT_MOST,
    Spoilt,
    read_end,
    read_length,
    request_fields,
    request_path,
)
from .work_items import Probing

if TYPE_CHECKING:
    from .upstream_server import Upstream


def write_probe(probing: Probing) -> bytes:
    return f"GET {probing.path} HTTP/1.1\r\nHost: {AUTHORITY}\r\n\r\n".encode()


def write_request(attempt: Attempt, now_ms: float) -> bytes:
    """An attempt as an HTTP/1.1 message."""
    ask = attempt.open_request.request
    lines = [f"{ask.method} {request_path(attempt)} HTTP/1.1", f"Host: {AUTHORITY}"]
    lines += [f"{name}: {value}" for name, value in request_fields(attempt, now_ms)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + ask.body


class CacheConnection(asyncio.Protocol):
    """One connection, carrying one attempt or probe at a time, or idle."""

    def __init__(self, upstream: Upstream) -> None:
        self.upstream, self.pool, self.address = upstream, upstream.pool, upstream.address
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.job: Attempt | Probing | None = None
        self.idle_until = 0.0
        self.status = self.size = 0  # bytes of the head, then of the body
        self.frame = 0  # bytes read since the last of a body
        self.headed = self.passing = self.whole = self.lasts = False
        self.headers: dict[bytes, bytes] = {}
        self.begun: ResponseHead | None = None  # read, but not yet passed on; and so the bytes of its body
        self.read: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is none by inheritance
        self.unread = socket_poll(self.transport)
        self.pool.live.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        transport, self.transport = self.transport, None
        self.pool.live.discard(self)
        if self in self.upstream.idle:
            self.upstream.idle.remove(self)
        job, self.job = self.job, None
        if job is not None:
            # What was not written whole never ran; after that it may have, whatever the connection says.
            whole = transport is not None and transport.get_write_buffer_size() == 0
            self.pool.over(job, AttemptResult(api.Status.RESET if whole else api.Status.CONNECT_FAILED))
        self.pool.pump()

    def carry(self, job: Attempt | Probing) -> None:
        assert self.transport is not None
        job.carrier = self
        now = self.pool.clock()
        request = self.written(job, now) if isinstance(job, Attempt) else write_probe(job)
        self.job, self.status, self.size, self.frame, self.headers = job, 0, 0, 0, {}
        self.headed = self.passing = self.whole = self.lasts = False
        self.begun = None
        self.read.clear()
        self.transport.write(request)

    def written(self, attempt: Attempt, now_ms: float) -> bytes:
        """What an attempt's request looks like here; another front's servers may want another."""
        return write_request(attempt, now_ms)

    def drop(self, job: Attempt | Probing) -> None:
        self.close()

    def close(self) -> None:
        """Give up what is carried, if anything, without a word."""
        self.job = None
        if self.transport is not None:
            self.transport.abort()

    def flow(self, job: Attempt | Probing, on: bool) -> None:
        if self.transport is not None:
            if on:
                self.transport.resume_reading()
            else:
                self.transport.pause_reading()

    def is_quiet(self) -> bool:
        """Whether the other end has neither said anything since its last answer nor closed.

        Guards against bytes behind an answer that still lie unread: they would be taken for the next one's.
        """
        return self.transport is not None and not self.transport.is_closing() and not self.unread.poll(0)

    def data_received(self, data: bytes) -> None:
        if self.job is None:  # nothing was asked: no peer that keeps the protocol says anything now
            self.pool.counters.add("caches.surplus")
            return self.close()
        surplus = False
        self.frame += len(data)
        try:
            self.parser.feed_data(data)
            if not self.headed:
                self._grow(len(data), HEAD_MOST)
            if self.headed and not self.whole and self.frame > MAX_FRAMING_BYTES:
                raise Spoilt
        except (Spoilt, httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if isinstance(error, httptools.HttpParserCallbackError) and not isinstance(
                error.__context__, Spoilt
            ):
                raise
            surplus = self.whole
            if not surplus:
                return self._spoilt()
        if self.read or self.begun is not None:
            self._pass_on()
        if self.whole and self.job is not None:
            self._over(surplus)

    def _pass_on(self) -> None:
        """Guards against an answer that a read shows to be spoilt: of that read the client gets nothing."""
        head, self.begun = self.begun, None
        if head is not None and isinstance(self.job, Attempt):
            self.passing = self.pool.exchange.response_started(self.job, head)
        for body in self.read:
            if self.passing and isinstance(self.job, Attempt):  # a client that leaves ends it in between
                self.pool.exchange.response_body(self.job, body)
        self.read.clear()

    def _spoilt(self) -> None:
        job = self.job
        self.pool.counters.add("caches.unreadable_answer")
        self.close()
        if job is not None:
            self.pool.over(job, AttemptResult(api.Status.ERROR))

    def _over(self, surplus: bool) -> None:
        """The whole read has been looked at: only now may the connection carry another job."""
        job, self.job = self.job, None
        assert job is not None
        if surplus:
            self.pool.counters.add("caches.surplus")
        if self.transport is not None and self.lasts and not surplus:
            self.transport.resume_reading()
            self.upstream.rest(self)
        else:
            self.close()
        self.pool.over(job, read_end(self.status, self.headers))

    def _grow(self, by: int, most: int) -> None:
        self.size += by
        if self.size > most:
            raise Spoilt

    # httptools' calls

    def on_message_begin(self) -> None:
        if self.whole:  # a second answer, or noise that looks like one
            raise Spoilt

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name == b"content-length" and name in self.headers:
            raise Spoilt
        self.headers[name] = value

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()
        if self.status < 200:
            return
        known = read_length(self.headers)
        chunked = self.headers.get(b"transfer-encoding", b"").lower() == b"chunked"
        # Guards against an answer whose end cannot be told: before anything of it reaches the client.
        if self.status != 304 and (known is None) != chunked:
            raise Spoilt
        if known is not None and known > OBJECT_MOST:
            raise Spoilt
        self.headed, self.size = True, 0
        if self.status in (200, 304) and isinstance(self.job, Attempt):
            tag = self.headers.get(b"tag")
            self.begun = ResponseHead(self.status == 304, known, tag.decode("latin-1") if tag else None)

    def on_body(self, body: bytes) -> None:
        self.frame = 0
        self.size += len(body)
        if self.size > OBJECT_MOST:
            raise Spoilt
        self.read.append(body)

    def on_message_complete(self) -> None:
        if self.status < 200:  # an interim answer: the real one follows
            self.headers = {}
        else:
            self.whole, self.lasts = True, self.parser.should_keep_alive()

"""HTTP/2 to a cache: many attempts on one connection, each a stream of its own."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from h2 import events as ev
from h2.errors import ErrorCodes
from h2.exceptions import ProtocolError
from hpack import NeverIndexedHeaderTuple

from .. import interface as api
from ..core.exchange import Attempt, AttemptResult, ResponseHead
from ..streams.stream_tracker import ENHANCE_YOUR_CALM, HTTP_1_1_REQUIRED, Finding, Reason
from .http2_stream import Stream, status_of
from .http2_transport import Http2Wire
from .protocol_fields import (
    AUTHORITY,
    OBJECT_MOST,
    Spoilt,
    read_end,
    read_length,
    request_fields,
    request_path,
)
from .work_items import Job

SLICE = 16 * 1024  # bytes that are read between two looks at what they brought about
# Different with each request: in the table of fields (RFC 7541, 7.1.3) they would push out what is not.
OWN_FIELDS = frozenset(("X-Ticket", "X-Max-Ms", "X-Nonce", "No-Older-Than", "Have", "Content-Length"))
WRITE_HIGH = 64 * 1024  # bytes that wait to be written, over which nothing more is added
WRITE_LOW = 16 * 1024  # until they are fewer than this


class Http2Connection(Http2Wire):
    """One shared connection; it takes requests once the server's settings have come.

    Guards against a server that does not speak HTTP/2 after all: it shows before anything was asked of it.
    """

    # asyncio's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is none by inheritance
        self.transport.set_write_buffer_limits(WRITE_HIGH, WRITE_LOW)
        self.pool.live.add(self)
        self.flush()

    def connection_lost(self, error: Exception | None) -> None:
        taken = self.taken() if self.taken_in_the_end is None else self.taken_in_the_end
        self.transport = None
        self.pool.live.discard(self)
        self.lane.left(self)
        for finding in self.ledger.closed(self.reason, taken):
            self.ended_without_answer(finding)
        self.streams.clear()
        self.lane.pump()
        self.pool.pump()

    def pause_writing(self) -> None:
        self.writable = False
        if self.shared is not None:
            self.shared.stalled = True

    def resume_writing(self) -> None:
        self.writable = True
        if self.shared is not None:
            self.shared.stalled = False
        self.upload()
        self.flush()
        self.lane.pump()

    def eof_received(self) -> bool:
        return False

    def data_received(self, data: bytes) -> None:
        self.liveness.heard(self.pool.clock())
        self.busy = True
        try:
            for start in range(0, len(data), SLICE):
                found = self.engine.receive_data(data[start : start + SLICE] if len(data) > SLICE else data)
                self.heard_any = True
                for event in found:
                    self.heard(event)
                if self.transport is None:
                    return
        except ProtocolError as error:
            return self.broke_rules(error)
        finally:
            self.busy = False
        self.upload()
        self.flush()
        self.lane.pump()

    # What the server's frames say.

    def heard(self, event: ev.Event) -> None:
        match event:
            case ev.DataReceived():
                self.on_data(event)
            case ev.ResponseReceived():
                self.on_head(event)
            case ev.StreamEnded():
                self.on_end(event.stream_id)
            case ev.StreamReset() if event.remote_reset:
                self.on_reset(event.stream_id, int(event.error_code or 0))
            case ev.StreamReset():
                self.on_own_reset(event.stream_id)
            case ev.RemoteSettingsChanged():
                self.on_settings()
            case ev.ConnectionTerminated():
                self.on_goaway(event.last_stream_id or 0, int(event.error_code or 0))

    def on_settings(self) -> None:
        limit = self.engine.remote_settings.max_concurrent_streams
        if self.shared is None:
            self.shared = self.lane.joined(self, limit)
        else:
            self.lane.sharing.limited(self.shared, limit)

    def on_head(self, event: ev.ResponseReceived) -> None:
        stream = self.streams.get(event.stream_id)
        if stream is None or stream.job is None:
            return
        try:
            head = self.read_head(stream, event.headers or [])
        except (Spoilt, ValueError):
            return self.spoilt(stream)
        self.ledger.answer_began(stream.number)
        if head is not None and isinstance(stream.job, Attempt):
            stream.passing = self.pool.exchange.response_started(stream.job, head)

    def read_head(self, stream: Stream, fields: list[tuple[bytes, bytes]]) -> ResponseHead | None:
        """The head of an answer; None where its body goes to no client."""
        headers: dict[bytes, bytes] = {}
        for name, value in fields:
            if name == b"content-length" and name in headers:
                raise Spoilt
            headers[name] = value
        stream.headers, stream.status = headers, int(headers[b":status"])
        length = read_length(headers)
        if (length is None and b"content-length" in headers) or (length or 0) > OBJECT_MOST:
            raise Spoilt
        if stream.status not in (200, 304):
            return None
        tag = headers.get(b"tag")
        return ResponseHead(stream.status == 304, length, tag.decode("latin-1") if tag else None)

    def on_data(self, event: ev.DataReceived) -> None:
        size = event.flow_controlled_length or 0
        self.credit_connection(size)
        stream = self.streams.get(event.stream_id)
        if stream is None:
            return
        stream.uncredited += size
        if stream.job is None:
            return
        stream.size += len(event.data or b"")
        if stream.size > OBJECT_MOST or not stream.status:
            return self.spoilt(stream)
        if stream.passing and isinstance(stream.job, Attempt) and event.data:
            self.pool.exchange.response_body(stream.job, event.data)
        if event.stream_ended is None:
            self.credit(stream)

    def on_end(self, number: int) -> None:
        stream = self.streams.get(number)
        if stream is None:
            return
        if stream.job is not None and not stream.status:  # an end without a head
            return self.spoilt(stream)
        job, stream.job = stream.job, None
        self.ledger.answered(number)
        if stream.body:  # the server needed no more of it
            self.reset(number, ErrorCodes.NO_ERROR)
        self.forget(stream, abandoned=job is None)
        if job is not None:
            self.lane.sharing.answered(self.pool.clock())
            self.pool.over(job, read_end(stream.status, stream.headers))

    def on_reset(self, number: int, code: int) -> None:
        finding = self.ledger.reset(number, code, self.taken())
        self.pool.counters.add("h2.resets_heard")
        self.heed(code)
        if finding is not None:
            self.ended_without_answer(finding)

    def heed(self, code: int) -> None:
        """What an error code asks for beside the end that it tells of, on a stream or in a GOAWAY."""
        if code == ENHANCE_YOUR_CALM:
            self.lane.calm()
        if code == HTTP_1_1_REQUIRED:
            self.lane.speaks_http1("HTTP_1_1_REQUIRED")

    def on_own_reset(self, number: int) -> None:
        """The engine reset a stream on which the server broke a rule that costs no more than that."""
        self.pool.counters.add("h2.broke_rules")
        self.pool.counters.add("h2.broke_rules.on_a_stream")
        finding = self.ledger.broke_rules(number, self.taken())
        if finding is not None:
            self.ended_without_answer(finding)

    def on_goaway(self, last: int, code: int) -> None:
        self.pool.counters.add("h2.goaways")
        self.heed(code)
        raised = self.ledger.raised
        found = self.ledger.goaway(last, code, self.taken())
        if self.shared is not None:
            self.lane.sharing.drain(self.shared, self.pool.clock())
        if self.ledger.raised > raised:
            self.pool.counters.add("h2.goaways_raised")
        for finding in found:
            self.ended_without_answer(finding)
        if not self.streams:
            self.close(ErrorCodes.NO_ERROR)

    def broke_rules(self, error: ProtocolError) -> None:
        """The server broke the protocol: its connection goes, with the code that says why (RFC 9113, 5.4)."""
        self.pool.counters.add("h2.broke_rules")
        self.pool.counters.add(f"h2.broke_rules.{type(error).__name__}")
        if not self.heard_any or self.shared is None:  # no settings, so no HTTP/2
            self.lane.speaks_http1("no HTTP/2 preface")
        self.flush()  # the engine has put its GOAWAY there
        self.reason = Reason.BROKE_RULES
        if self.transport is not None and self.writable:
            self.transport.close()
        else:  # nobody reads what would be said
            self.abort(Reason.BROKE_RULES)

    def spoilt(self, stream: Stream) -> None:
        """What came on a stream is no good answer: it costs the stream."""
        job, stream.job = stream.job, None
        self.pool.counters.add("caches.unreadable_answer")
        self.give_up(stream)
        if job is not None:
            self.pool.over(job, AttemptResult(api.Status.ERROR))

    def ended_without_answer(self, finding: Finding) -> None:
        stream = self.streams.get(finding.stream)
        if stream is None:
            return
        job, stream.job = stream.job, None
        self.forget(stream, abandoned=job is None)
        if job is None:
            return
        self.pool.counters.add(f"h2.ended.{finding.reason.value}")
        if self.pool.witness is not None and isinstance(job, Attempt):
            self.pool.witness(job, finding)
        self.pool.over(job, AttemptResult(status_of(finding)))

    # Requests.

    def carry(self, job: Job) -> None:
        """Open a stream for a job; the caller has seen that there is room."""
        assert self.shared is not None and self.transport is not None
        number = self.lane.sharing.started(self.shared)
        stream = self.streams[number] = Stream(self, number, job)
        job.carrier = stream
        method, path, body = "GET", "", b""
        fields: list[Any] = []
        if isinstance(job, Attempt):
            request = job.open_request.request
            method, path, body = request.method, request_path(job), request.body
            fields = [
                NeverIndexedHeaderTuple(name.lower(), value) if name in OWN_FIELDS else (name.lower(), value)
                for name, value in request_fields(job, self.pool.clock())
            ]
        else:
            path = job.path
        head: list[Any] = [
            (":method", method), (":scheme", "https" if self.secure else "http"), (":authority", AUTHORITY),
            NeverIndexedHeaderTuple(":path", path), *fields,
        ]  # fmt: skip
        start = self.position()
        self.liveness.woke(self.pool.clock())
        self.engine.send_headers(number, head, end_stream=not body)
        self.ledger.opened(number, start, self.position(), not body)
        if body:
            stream.body = memoryview(body)
            self.uploads.add(stream)
            self.upload()
        self.flush()

    def upload(self) -> None:
        """Request bodies, as far as the server's windows and our buffer allow, in the order of streams."""
        for stream in sorted(self.uploads, key=lambda s: s.number) if self.uploads else ():
            while stream.body and self.writable:
                # Either window may be negative after the server has lowered it (RFC 9113, 6.9.2).
                room = self.engine.local_flow_control_window(stream.number)
                size = min(room, self.engine.max_outbound_frame_size, len(stream.body))
                if size <= 0:
                    break
                piece, stream.body = stream.body[:size], stream.body[size:]
                self.engine.send_data(stream.number, bytes(piece), end_stream=not stream.body)
            if not stream.body:
                self.uploads.discard(stream)
                self.ledger.body_ended(stream.number, self.position())

    def give_up(self, stream: Stream) -> None:
        """Nobody wants the answer: a reset, if the bound on resets allows one more.

        Guards against looking like an attack by rapid reset: beyond the bound the stream runs out unheard,
        its window closed, and counts against the limit as it does at the server.
        """
        self.ledger.given_up(stream.number, self.taken())
        if self.transport is None or self.streams.get(stream.number) is not stream:
            return
        if self.cancels.take(self.pool.clock()):
            self.reset(stream.number, ErrorCodes.CANCEL)
            self.forget(stream)
            if not self.busy:
                self.lane.pump()
        else:
            self.pool.counters.add("h2.cancels_held_back")
            assert self.shared is not None
            self.lane.sharing.abandoned(self.shared, self.pool.clock())

    def reset(self, number: int, code: ErrorCodes) -> None:
        if self.transport is not None and self.engine.streams[number].open:
            self.pool.counters.add("h2.resets_sent")
            self.engine.reset_stream(number, code)
            self.flush()

    def forget(self, stream: Stream, abandoned: bool = False) -> None:
        self.uploads.discard(stream)
        stream.body = memoryview(b"")
        if self.streams.pop(stream.number, None) is not None and self.shared is not None:
            self.lane.sharing.ended(self.shared, self.pool.clock(), abandoned)
            if self.shared.draining_since is not None and not self.streams:
                asyncio.get_running_loop().call_soon(self.close_if_empty)

    def close_if_empty(self) -> None:
        if not self.streams:
            self.close(ErrorCodes.NO_ERROR)

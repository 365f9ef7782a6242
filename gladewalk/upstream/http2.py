"""HTTP/2 to a server (RFC 9113): a connection carries many attempts, each on its own stream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from h2 import events
from h2.errors import ErrorCodes
from h2.exceptions import ProtocolError

from .. import interface as api
from ..config.option_tables import Http2Options
from ..core.exchange import Attempt, AttemptResult
from ..core.response_buffer import MAX_OBJECT_BYTES
from ..limits.token_bucket import TokenBucket
from ..streams.keep_alive import KeepAlive, KeepAliveAction
from ..streams.stream_allocator import ConnectionSlots, StreamAllocator
from ..streams.stream_tracker import (
    ENHANCE_YOUR_CALM,
    HTTP_1_1_REQUIRED,
    EndReason,
    StreamOutcome,
    StreamTracker,
)
from .http2_engine import Http2Engine, violation_name
from .http2_stream import Http2Stream, attempt_status, encode_fields
from .http2_transport import Http2Transport
from .protocol_fields import InvalidResponseError, read_result
from .upstream_server import UpstreamServer
from .work_items import ConnectionOwner, WorkItem

READ_SLICE_BYTES = 16 * 1024  # the most bytes that are parsed before their events are handled
PING_DATA = b"gladewlk"


class Http2Pool(ConnectionOwner, Protocol):
    """The part of the pool that an HTTP/2 connection uses."""

    on_stream_ended: Callable[[Attempt, StreamOutcome], None] | None


class Http2Group(Protocol):
    """The part of a connection group that an HTTP/2 connection uses."""

    options: Http2Options
    allocator: StreamAllocator
    server: UpstreamServer

    @property
    def pool(self) -> Http2Pool:
        """The pool that owns the connection."""

    def settings_received(self, connection: Http2Connection, max_streams: int) -> ConnectionSlots:
        """Called when the server's settings are received; returns the connection's slots."""

    def connection_closed(self, connection: Http2Connection) -> None:
        """Called when the connection is closed."""

    def serve_waiting(self) -> None:
        """Assigns available streams to waiting work items."""

    def calm_requested(self) -> None:
        """Called when the server has sent ENHANCE_YOUR_CALM."""

    def fall_back(self, reason: str) -> None:
        """Uses HTTP/1.1 for the server from now on."""


class Http2Connection(asyncio.Protocol):
    """One connection; it carries requests once the server's settings are received.

    Before that it is unknown whether the server supports HTTP/2 at all, and no request is sent to it.

    Attributes:
        address: The address that was dialled; the server's address may have changed since.
        slots: The allocator's record of the connection; None before the server's settings are received.
        streams: The open streams by their ids.
        resets: Limits the resets that are sent; more of them could look like a rapid-reset attack.
        has_received: Whether any valid frame bytes were received from the server.
        end_reason: The end reason of streams that are still open when the connection is closed.
    """

    def __init__(self, group: Http2Group, is_tls: bool) -> None:
        self.group, self.pool = group, group.pool
        self.address = group.server.address
        options, now_ms = group.options, self.pool.clock()
        self.engine = Http2Engine(options, self.pool.clock, self.pool.counters.add)
        self.tracker = StreamTracker()
        self.output = Http2Transport(self.engine, self.tracker, options, is_tls)
        self.streams: dict[int, Http2Stream] = {}
        self.slots: ConnectionSlots | None = None
        self.resets = TokenBucket(options.reset_burst, options.resets_per_s, now_ms)
        self.keep_alive = KeepAlive(options.ping_after_ms, options.ping_timeout_ms, now_ms)
        self.has_received = False
        self.end_reason = EndReason.CONNECTION_LOST

    @property
    def transport(self) -> asyncio.Transport | None:
        """The socket's transport; None before the connection is open and after it is closed."""
        return self.output.transport

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called when the connection is open, including TLS if it is configured."""
        self.pool.open_connections.add(self)
        self.output.open(cast(asyncio.Transport, transport))  # uvloop's transport does not inherit from it

    def connection_lost(self, error: Exception | None) -> None:
        """Called when the connection is closed; ends the work items of all open streams."""
        accepted_bytes = self.output.final_accepted_bytes()
        self.output.transport = None
        self.pool.open_connections.discard(self)
        self.group.connection_closed(self)
        for outcome in self.tracker.connection_closed(self.end_reason, accepted_bytes):
            self._end_without_response(outcome)
        self.streams.clear()
        self.group.serve_waiting()
        self.pool.serve_waiting()

    def pause_writing(self) -> None:
        """Called when the transport's buffer is full: nothing more is written to it."""
        self.output.is_writable = False
        if self.slots is not None:
            self.slots.is_stalled = True

    def resume_writing(self) -> None:
        """Called when the transport's buffer has drained below its limit: writing continues."""
        self.output.is_writable = True
        if self.slots is not None:
            self.slots.is_stalled = False
        self._continue()

    def eof_received(self) -> bool:
        """Closes the connection: a server that has closed its sending side can send no more responses."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parses frames and handles their events; all resulting frames are written together at the end."""
        self.keep_alive.data_received(self.pool.clock())
        self.output.is_corked = True
        try:
            for start in range(0, len(data), READ_SLICE_BYTES):
                is_short = len(data) <= READ_SLICE_BYTES
                found = self.engine.receive_data(data if is_short else data[start : start + READ_SLICE_BYTES])
                self.has_received = True
                for event in found:
                    self._handle_event(event)
                if self.transport is None:
                    return
        except ProtocolError as error:
            return self._close_by_violation(error)
        finally:
            self.output.is_corked = False
        self._continue()

    def _continue(self) -> None:
        self.output.continue_uploads()
        self.output.flush()
        self.group.serve_waiting()

    # The server's frames.

    def _handle_event(self, event: events.Event) -> None:
        match event:
            case events.DataReceived():
                self._on_data(event)
            case events.ResponseReceived():
                self._on_head(event)
            case events.StreamEnded():
                self._on_end(event.stream_id)
            case events.StreamReset() if event.remote_reset:
                self._on_reset(event.stream_id, int(event.error_code or 0))
            case events.StreamReset():
                self._on_stream_violation(event.stream_id)
            case events.RemoteSettingsChanged():
                self._on_settings()
            case events.ConnectionTerminated():
                self._on_goaway(event.last_stream_id or 0, int(event.error_code or 0))

    def _on_settings(self) -> None:
        max_streams = self.engine.remote_settings.max_concurrent_streams
        if self.slots is None:
            self.slots = self.group.settings_received(self, max_streams)
        else:
            self.group.allocator.set_max_streams(self.slots, max_streams)

    def _on_head(self, event: events.ResponseReceived) -> None:
        stream = self.streams.get(event.stream_id)
        if stream is None or stream.item is None:
            return
        try:
            head = stream.read_head(event.headers or [])
        except (InvalidResponseError, ValueError):
            return self._fail(stream)
        self.tracker.response_started(stream.stream_id)
        if head is not None and isinstance(stream.item, Attempt):
            stream.is_forwarded = self.pool.exchange.response_started(stream.item, head)

    def _on_data(self, event: events.DataReceived) -> None:
        received_bytes = event.flow_controlled_length or 0
        self.output.credit_connection(received_bytes)
        stream = self.streams.get(event.stream_id)
        if stream is None:
            return
        stream.uncredited_bytes += received_bytes
        if stream.item is None:
            return
        stream.body_bytes += len(event.data or b"")
        if stream.body_bytes > MAX_OBJECT_BYTES or not stream.status:
            return self._fail(stream)
        if stream.is_forwarded and isinstance(stream.item, Attempt) and event.data:
            self.pool.exchange.response_body(stream.item, event.data)
        if event.stream_ended is None and event.stream_id in self.streams:
            self.output.credit_stream(stream)

    def _on_end(self, stream_id: int) -> None:
        stream = self.streams.get(stream_id)
        if stream is None:
            return
        if stream.item is not None and not stream.status:  # the stream has ended without a head
            return self._fail(stream)
        item, stream.item = stream.item, None
        self.tracker.response_completed(stream_id)
        if stream.unsent_body:  # the server does not need the rest of the request's body
            self._reset(stream_id, ErrorCodes.NO_ERROR)
        self._forget(stream, was_abandoned=item is None)
        if item is not None:
            self.group.allocator.response_completed(self.pool.clock())
            self.pool.finish(item, read_result(stream.status, stream.headers))

    def _on_reset(self, stream_id: int, code: int) -> None:
        outcome = self.tracker.reset(stream_id, code, self.output.accepted_bytes())
        self.pool.counters.add("h2.resets_heard")
        self._apply_error_code(code)
        if outcome is not None:
            self._end_without_response(outcome)

    def _on_stream_violation(self, stream_id: int) -> None:
        """Ends a stream that the engine has reset for a violation on that stream only (RFC 9113, 5.4.2)."""
        self.pool.counters.add("h2.broke_rules")
        self.pool.counters.add("h2.broke_rules.on_a_stream")
        outcome = self.tracker.protocol_error(stream_id, self.output.accepted_bytes())
        if outcome is not None:
            self._end_without_response(outcome)

    def _on_goaway(self, last_id: int, code: int) -> None:
        self.pool.counters.add("h2.goaways")
        self._apply_error_code(code)
        raised_before = self.tracker.raised_goaways
        outcomes = self.tracker.goaway(last_id, code, self.output.accepted_bytes())
        if self.slots is not None:
            self.group.allocator.drain(self.slots, self.pool.clock())
        if self.tracker.raised_goaways > raised_before:
            self.pool.counters.add("h2.goaways_raised")
        for outcome in outcomes:
            self._end_without_response(outcome)
        self.close_if_idle()

    def _apply_error_code(self, code: int) -> None:
        """Applies the error codes of RST_STREAM and GOAWAY that concern the whole server."""
        if code == ENHANCE_YOUR_CALM:
            self.group.calm_requested()
        if code == HTTP_1_1_REQUIRED:
            self.group.fall_back("HTTP_1_1_REQUIRED")

    def _close_by_violation(self, error: ProtocolError) -> None:
        """Closes the connection after a violation (RFC 9113, section 5.4.1).

        The engine has prepared a GOAWAY with the violation's code, but it is not written, because the output
        is corked while a read is handled.
        """
        self.pool.counters.add("h2.broke_rules")
        self.pool.counters.add(f"h2.broke_rules.{violation_name(error)}")
        if not self.has_received or self.slots is None:  # without settings, the server does not use HTTP/2
            self.group.fall_back("no HTTP/2 preface")
        self.end_reason = EndReason.PROTOCOL_ERROR
        if self.transport is not None and self.output.is_writable:
            self.transport.close()
        else:  # the server does not read, so that a graceful close would never complete
            self.output.abort()

    # Requests and their ends.

    def send(self, item: WorkItem) -> None:
        """Opens a stream for a work item; the allocator must have chosen this connection for it."""
        assert self.slots is not None and self.transport is not None
        stream_id = self.group.allocator.open_stream(self.slots)
        stream = self.streams[stream_id] = Http2Stream(self, stream_id, item)
        item.carrier = stream
        now_ms = self.pool.clock()
        body = item.open_request.request.body if isinstance(item, Attempt) else b""
        fields = encode_fields(item, "https" if self.output.is_tls else "http", now_ms)
        start = self.output.position()
        self.keep_alive.request_sent(now_ms)
        self.engine.send_headers(stream_id, fields, end_stream=not body)
        self.tracker.open_stream(stream_id, start, self.output.position(), is_complete=not body)
        if body:
            self.output.upload(stream, body)
        self.output.flush()

    def abandon(self, stream: Http2Stream) -> None:
        """Ends a stream whose response is not needed any more, by a reset if the limit of resets allows it.

        Otherwise the stream stays open: its response is discarded, its window is not opened again, and it
        counts against the limit of streams, as it does at the server. More resets could look like a
        rapid-reset attack.
        """
        self.tracker.cancel(stream.stream_id, self.output.accepted_bytes())
        if self.transport is None or self.streams.get(stream.stream_id) is not stream:
            return
        if self.resets.take(self.pool.clock()):
            self._reset(stream.stream_id, ErrorCodes.CANCEL)
            self._forget(stream)
            if not self.output.is_corked:
                self.group.serve_waiting()
        else:
            self.pool.counters.add("h2.cancels_held_back")
            assert self.slots is not None
            self.group.allocator.abandon_stream(self.slots, self.pool.clock())

    def resume(self, stream: Http2Stream) -> None:
        """Opens a stream's window again after a pause."""
        if stream.stream_id in self.streams:
            self.output.credit_stream(stream)
        self.output.flush()

    def _fail(self, stream: Http2Stream) -> None:
        """Ends a stream whose response is invalid."""
        item, stream.item = stream.item, None
        self.pool.counters.add("caches.unreadable_answer")
        self.abandon(stream)
        if item is not None:
            self.pool.finish(item, AttemptResult(api.Status.ERROR))

    def _end_without_response(self, outcome: StreamOutcome) -> None:
        stream = self.streams.get(outcome.stream_id)
        if stream is None:
            return
        item, stream.item = stream.item, None
        self._forget(stream, was_abandoned=item is None)
        if item is None:
            return
        self.pool.counters.add(f"h2.ended.{outcome.reason.value}")
        if self.pool.on_stream_ended is not None and isinstance(item, Attempt):
            self.pool.on_stream_ended(item, outcome)
        self.pool.finish(item, AttemptResult(attempt_status(outcome)))

    def _reset(self, stream_id: int, code: ErrorCodes) -> None:
        if self.transport is not None and self.engine.streams[stream_id].open:
            self.pool.counters.add("h2.resets_sent")
            self.engine.reset_stream(stream_id, code)
            self.output.flush()

    def _forget(self, stream: Http2Stream, was_abandoned: bool = False) -> None:
        self.output.stop_upload(stream)
        if self.streams.pop(stream.stream_id, None) is not None and self.slots is not None:
            self.group.allocator.close_stream(self.slots, self.pool.clock(), was_abandoned)
            if self.slots.draining_since_ms is not None and not self.streams:
                asyncio.get_running_loop().call_soon(self.close_if_idle)

    # The end of the connection.

    def check_keep_alive(self, now_ms: float) -> None:
        """Sends a PING after a time without received bytes, and closes the connection if none follow."""
        is_outstanding = bool(self.streams) or self.slots is None
        match self.keep_alive.check(is_outstanding, now_ms):
            case KeepAliveAction.PING:
                self.pool.counters.add("h2.pings")
                self.engine.ping(PING_DATA)
                self.output.flush()
            case KeepAliveAction.CLOSE:
                self.pool.counters.add("h2.silent")
                self.end_reason = EndReason.KEEP_ALIVE_TIMEOUT
                self.output.abort()
            case KeepAliveAction.NONE:
                pass

    def close_if_idle(self) -> None:
        """Closes the connection if no stream is open."""
        if not self.streams:
            self.close()

    def close(self) -> None:
        """Closes the connection with a GOAWAY; streams that are still open end without a response."""
        if self.transport is None or self.transport.is_closing():
            return
        self.engine.close_connection(ErrorCodes.NO_ERROR)
        self.output.write_out()
        if self.streams:
            self.end_reason = EndReason.CONNECTION_LOST
            self.output.abort()
        else:
            self.transport.close()

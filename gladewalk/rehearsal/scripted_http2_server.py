"""A scripted HTTP/2 cache server, in clear text or over TLS (RFC 9113; uses the server side of `h2`).

Its script can respond to a request, refuse or reset it, send GOAWAY, stop responding, lower limits, or send
any frame on the connection. The server records a request as processed when its script processes it; checks
compare with this record. `http2_fault_script` contains a script that draws faults from a seed.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import DataReceived, Event, RequestReceived, StreamEnded, StreamReset
from h2.exceptions import ProtocolError, TooManyStreamsError
from h2.settings import SettingCodes
from hyperframe.frame import Frame, GoAwayFrame

from .http_messages import header_names
from .scripted_servers import NOT_MODIFIED, StandInServer

GRACEFUL_LAST_STREAM_ID = 2**31 - 1  # in the first GOAWAY of a graceful shutdown (RFC 9113, section 6.8)
RESPONSE_HEADERS = {
    "x-remark": "mem",
    "tag": "4be0",
    "made-at": "1764576000123",
    "x-meter": "util:0.2;x0:0.7",
}
PROCESSED_STATUSES = (200, NOT_MODIFIED)


@dataclass(slots=True, eq=False)
class Http2Request:
    """A request that the server received."""

    connection: Http2ServerConnection
    stream_id: int
    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""
    is_complete: bool = False  # its last byte has been received
    is_processed: bool = False
    is_closed: bool = False  # the response is complete, or the stream was reset

    @property
    def ticket(self) -> str:
        """The value of the header `X-Ticket`; empty if absent."""
        return self.headers.get("x-ticket", "")

    def process(self) -> None:
        """Records that the request has been processed; one record per call."""
        self.is_processed = True
        if self.connection.server.keeps_records:
            self.connection.server.processed.append(self)
        self.connection.note_processing(self.stream_id)

    def respond(self, status: int = 200, body: bytes = b"", may_process: bool = True, **fields: str) -> None:
        """Sends a response; for status 200 or 304 the request is processed first if it was not before."""
        if may_process and not self.is_processed and status in PROCESSED_STATUSES:
            self.process()
        self.send_headers(
            status, len(body) if status != NOT_MODIFIED else None, ends_stream=not body, **fields
        )
        if body:
            self.connection.send_body(self, body, True)

    def send_headers(
        self, status: int, content_length: int | None, ends_stream: bool = False, **fields: str
    ) -> None:
        """Sends the response's HEADERS frame; does nothing on a closed stream."""
        if self.is_closed or self.connection.is_closed:
            return
        headers = [(":status", str(status)), *{**RESPONSE_HEADERS, **header_names(fields)}.items()]
        if content_length is not None:
            headers.append(("content-length", str(content_length)))
        self.is_closed = ends_stream
        self.connection.engine.send_headers(self.stream_id, headers, end_stream=ends_stream)
        self.connection.flush()

    def reset(self, code: int) -> None:
        """Sends RST_STREAM; does nothing on a closed stream."""
        if self.is_closed or self.connection.is_closed:
            return
        self.is_closed = True
        self.connection.engine.reset_stream(self.stream_id, code)
        self.connection.flush()


Http2Script = Callable[[Http2Request], None]


class Http2ServerConnection(asyncio.Protocol):
    """A connection to a scripted server, with the operations that scripts use."""

    def __init__(self, server: ScriptedHttp2Server) -> None:
        self.server = server
        self.engine = H2Connection(H2Configuration(client_side=False, header_encoding="utf-8"))
        self.engine.local_settings.update(
            {SettingCodes.MAX_CONCURRENT_STREAMS: server.max_concurrent_streams, **server.settings}
        )
        self.engine.local_settings.acknowledge()
        self.last_processed_id = 0  # the highest stream that was or may yet be processed
        self.is_unresponsive = self.is_going_away = False
        self.bytes_until_abort: int | None = (
            None  # bytes that are still read before the connection is aborted
        )
        self.transport: asyncio.Transport | None = None
        self._requests: dict[int, Http2Request] = {}
        self.unsent_bodies: dict[int, tuple[Http2Request, bytes, bool]] = {}

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed or being closed."""
        return self.transport is None or self.transport.is_closing()

    def note_processing(self, stream_id: int) -> None:
        """Raises `last_processed_id` to a stream that is processed, or may be from now on."""
        self.last_processed_id = max(self.last_processed_id, stream_id)

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the server's connection preface unless `sends_preface` is False."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.add_connection(self)
        if self.server.sends_preface:
            self.engine.initiate_connection()
            self.flush()

    def connection_lost(self, error: Exception | None) -> None:
        """Removes the connection from its server."""
        self.transport = None
        self.server.open_connections.remove(self)

    def data_received(self, data: bytes) -> None:
        """Reads frames, runs the script for complete requests and sends pending bodies as windows allow."""
        if self.is_unresponsive or not self.server.sends_preface:
            return
        if self.bytes_until_abort is not None:
            data, self.bytes_until_abort = data[: self.bytes_until_abort], self.bytes_until_abort - len(data)
        self._read_frames(data)
        if self.bytes_until_abort is not None and self.bytes_until_abort <= 0:
            self.abort()
            return
        for request, body, ends_stream in list(self.unsent_bodies.values()):
            self.send_body(request, body, ends_stream)
        self.flush()

    def _read_frames(self, data: bytes) -> None:
        try:
            for event in self.engine.receive_data(data):
                self._handle_event(event)
        except TooManyStreamsError:
            self.server.streams_over_limit += 1
        except ProtocolError as error:
            if not self.is_closed:
                self.server.protocol_errors.append(repr(error))

    def _handle_event(self, event: Event) -> None:
        match event:
            case RequestReceived():
                self._on_request(event)
            case DataReceived():
                self._on_data(event)
            case StreamEnded():
                request = self._requests[event.stream_id or 0]
                request.is_complete = True
                if not request.is_closed and not self.is_closed:
                    self.server.script(request)
            case StreamReset():
                self._on_reset(event.stream_id or 0)

    def _on_request(self, event: RequestReceived) -> None:
        headers = {str(name): str(value) for name, value in event.headers or []}
        stream_id = event.stream_id or 0
        request = Http2Request(self, stream_id, headers[":method"], headers[":path"], headers)
        self._requests[stream_id] = request
        if self.server.keeps_records:
            self.server.record_request(request)
        if self.server.on_headers is not None:
            self.server.on_headers(request)

    def _on_data(self, event: DataReceived) -> None:
        request = self._requests[event.stream_id or 0]
        request.body += event.data or b""
        length = event.flow_controlled_length
        if length and not self.is_closed and not self.server.withholds_window:
            self.engine.acknowledge_received_data(length, request.stream_id)

    def _on_reset(self, stream_id: int) -> None:
        if stream_id in self._requests:
            self._requests[stream_id].is_closed = True
            if not self.server.keeps_records:
                del self._requests[stream_id]
        self.unsent_bodies.pop(stream_id, None)
        self.server.resets_received += 1

    # Operations for scripts.

    def send_body(self, request: Http2Request, body: bytes, ends_stream: bool) -> None:
        """Sends a body as far as the flow-control windows allow, and the remainder when they open."""
        stream_id = request.stream_id
        self.unsent_bodies.pop(stream_id, None)
        while body and not request.is_closed and not self.is_closed:
            window = self.engine.local_flow_control_window(stream_id)
            size = min(window, self.engine.max_outbound_frame_size, len(body))
            if size <= 0:
                self.unsent_bodies[stream_id] = (request, body, ends_stream)
                break
            is_last = ends_stream and size == len(body)
            request.is_closed = is_last
            if is_last and not self.server.keeps_records:
                del self._requests[stream_id]
            self.engine.send_data(stream_id, body[:size], end_stream=is_last)
            body = body[size:]
        self.flush()

    def flush(self) -> None:
        """Writes the engine's pending data, unless the connection is unresponsive."""
        data = self.engine.data_to_send()
        if data and self.transport is not None and not self.is_unresponsive:
            self.transport.write(data)

    def send_goaway(self, last_stream_id: int, code: int = ErrorCodes.NO_ERROR) -> None:
        """Sends GOAWAY without closing anything; streams continue (RFC 9113, section 6.8)."""
        self.send_frames(GoAwayFrame(0, last_stream_id=last_stream_id, error_code=code))

    def send_frames(self, *frames: Frame) -> None:
        """Sends frames without checking whether the protocol allows them."""
        self.send_raw(b"".join(frame.serialize() for frame in frames))

    def send_raw(self, data: bytes) -> None:
        """Sends raw bytes."""
        if not self.is_closed and self.transport is not None:
            self.flush()
            self.transport.write(data)

    def update_settings(self, **values: int) -> None:
        """Sends SETTINGS; keywords are names of `SettingCodes` in lower case."""
        if not self.is_closed:
            self.engine.update_settings({SettingCodes[name.upper()]: value for name, value in values.items()})
            self.flush()

    def abort(self) -> None:
        """Resets the connection."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Closes the connection after all pending data has been sent."""
        if self.transport is not None:
            self.transport.close()


@dataclass(slots=True, eq=False)
class ScriptedHttp2Server(StandInServer[Http2Script]):
    """A stand-in HTTP/2 server that responds by its script and records the requests received."""

    capacity: float = 1_000.0
    max_concurrent_streams: int = 128  # on each connection
    settings: dict[SettingCodes | int, int] = field(default_factory=dict)
    on_headers: Http2Script | None = None  # called before a request's body arrives
    keeps_records: bool = (
        True  # whether `received` and `processed` are filled; False saves memory in long benchmarks
    )
    sends_preface: bool = True  # False: the server accepts connections and sends no data
    withholds_window: bool = False  # True: request bodies are read without sending WINDOW_UPDATE
    received: list[Http2Request] = field(default_factory=list)
    processed: list[Http2Request] = field(default_factory=list)
    open_connections: list[Http2ServerConnection] = field(default_factory=list)
    protocol_errors: list[str] = field(default_factory=list)  # protocol violations by the peer
    max_connections: int = 0  # most connections open at a time, without those that are going away
    max_streams: int = 0  # most streams open at a time on one connection
    streams_over_limit: int = 0  # streams opened over a limit that had been acknowledged
    resets_received: int = 0

    def _new_protocol(self) -> asyncio.Protocol:
        return Http2ServerConnection(self)

    def add_connection(self, connection: Http2ServerConnection) -> None:
        """Counts a new connection."""
        self.open_connections.append(connection)
        self.connections += 1
        self.max_connections = max(self.max_connections, len(self.usable_connections()))

    def record_request(self, request: Http2Request) -> None:
        """Records a request and updates `max_streams`."""
        self.received.append(request)
        self.max_streams = max(self.max_streams, request.connection.engine.open_inbound_streams)

    def stop(self) -> None:
        """Aborts all connections and stops listening."""
        for connection in list(self.open_connections):
            connection.abort()
        StandInServer.stop(self)  # super() does not work in a dataclass with slots

    def usable_connections(self) -> list[Http2ServerConnection]:
        """Returns the connections that are open and have not been sent the final GOAWAY."""
        return [one for one in self.open_connections if not one.is_going_away and not one.is_closed]

    def process_counts(self) -> Counter[str]:
        """Returns how often each request was processed, by ticket."""
        return Counter(request.ticket for request in self.processed)

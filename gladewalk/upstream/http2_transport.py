"""Output of an HTTP/2 connection: bytes accepted by the kernel, request bodies and receive window updates."""

from __future__ import annotations

import asyncio

from ..config.option_tables import Http2Options
from ..streams.stream_tracker import StreamTracker
from .http2_engine import Http2Engine
from .http2_stream import Http2Stream

MAX_UNSENT_BYTES = 64 * 1024  # in the transport's buffer; above this, writing is paused
RESUME_UNSENT_BYTES = 16 * 1024  # writing is resumed once no more than this is left


class Http2Transport:
    """Writes the engine's frames to the socket, and counts how many bytes the kernel can have accepted.

    Attributes:
        transport: The socket's transport; None before the connection is open and after it is closed.
        is_tls: Whether the connection is over TLS.
        sent_bytes: Bytes written to the transport.
        is_writable: Whether writing is not paused by the transport's buffer limits.
        is_corked: Whether frames are kept until the end of a read, so that all of them are written together.
        accepted_bytes_at_abort: `accepted_bytes` at the time when the director aborted the connection.
    """

    def __init__(
        self, engine: Http2Engine, tracker: StreamTracker, options: Http2Options, is_tls: bool
    ) -> None:
        self.engine, self.tracker, self.is_tls = engine, tracker, is_tls
        self.transport: asyncio.Transport | None = None
        self.sent_bytes = 0
        self.is_writable = True
        self.is_corked = False
        self.accepted_bytes_at_abort: int | None = None
        self._pending = bytearray()  # frames that are not written to the transport yet
        self._uploads: set[Http2Stream] = set()
        self._stream_credit_step = options.stream_window_bytes // 2
        self._connection_credit_step = options.connection_window_bytes // 4
        self._uncredited_bytes = 0  # received bytes for which the connection's window was not opened again

    def open(self, transport: asyncio.Transport) -> None:
        """Sets the transport of an open connection, and sends the connection preface."""
        self.transport = transport
        transport.set_write_buffer_limits(MAX_UNSENT_BYTES, RESUME_UNSENT_BYTES)
        self.flush()

    def position(self) -> int:
        """Returns the offset after all bytes of the connection so far, including those not written yet."""
        self._pending += self.engine.data_to_send()
        return self.sent_bytes + len(self._pending)

    def accepted_bytes(self) -> int:
        """Returns an upper bound of the bytes that the kernel has accepted.

        This is all sent bytes if the size of the transport's buffer is unknown: over TLS, and after the
        transport was lost. Such a bound may leave a request without proof that it was not processed, but it
        never proves this wrongly.
        """
        if self.transport is None or self.is_tls:
            return self.sent_bytes
        return self.sent_bytes - self.transport.get_write_buffer_size()

    def final_accepted_bytes(self) -> int:
        """Returns `accepted_bytes` for a connection that is being closed."""
        return self.accepted_bytes() if self.accepted_bytes_at_abort is None else self.accepted_bytes_at_abort

    def abort(self) -> None:
        """Closes the connection at once: the kernel accepts no more bytes from now on."""
        self.accepted_bytes_at_abort = self.accepted_bytes()
        if self.transport is not None:
            self.transport.abort()

    def flush(self) -> None:
        """Writes the engine's frames, except while a read is being handled, which ends with a flush."""
        if not self.is_corked:
            self.write_out()

    def write_out(self) -> None:
        """Writes the engine's frames, unless writing is paused."""
        if not self.is_writable:  # kept here, so that the server certainly cannot have received them
            self._pending += self.engine.data_to_send()
            return
        data = self.engine.data_to_send()
        if self._pending:
            data = bytes(self._pending) + data
        self._pending.clear()
        if data and self.transport is not None:
            self.sent_bytes += len(data)
            self.transport.write(data)

    # Request bodies.

    def upload(self, stream: Http2Stream, body: bytes) -> None:
        """Starts sending a request's body after its head."""
        stream.unsent_body = memoryview(body)
        self._uploads.add(stream)
        self.continue_uploads()

    def continue_uploads(self) -> None:
        """Sends request bodies in the order of their streams, as far as the windows and the buffer allow."""
        for stream in sorted(self._uploads, key=lambda upload: upload.stream_id) if self._uploads else ():
            while stream.unsent_body and self.is_writable:
                # The window may be negative after the server has lowered it (RFC 9113, section 6.9.2).
                window_bytes = self.engine.local_flow_control_window(stream.stream_id)
                size = min(window_bytes, self.engine.max_outbound_frame_size, len(stream.unsent_body))
                if size <= 0:
                    break
                piece, stream.unsent_body = stream.unsent_body[:size], stream.unsent_body[size:]
                self.engine.send_data(stream.stream_id, bytes(piece), end_stream=not stream.unsent_body)
            if not stream.unsent_body:
                self._uploads.discard(stream)
                self.tracker.body_ended(stream.stream_id, self.position())

    def stop_upload(self, stream: Http2Stream) -> None:
        """Sends nothing more of a request's body."""
        self._uploads.discard(stream)
        stream.unsent_body = memoryview(b"")

    # Receive windows (RFC 9113, section 5.2).

    def credit_connection(self, received_bytes: int) -> None:
        """Opens the connection's window again: a slow client must not stall the other streams."""
        self._uncredited_bytes += received_bytes
        if self._uncredited_bytes >= self._connection_credit_step:
            self.engine.increment_flow_control_window(self._uncredited_bytes)
            self._uncredited_bytes = 0

    def credit_stream(self, stream: Http2Stream) -> None:
        """Opens a stream's window again for received bytes, unless reading is paused for its client."""
        is_wanted = stream.item is not None and not stream.is_paused
        if is_wanted and stream.uncredited_bytes >= self._stream_credit_step:
            if self.engine.streams[stream.stream_id].open:
                self.engine.increment_flow_control_window(stream.uncredited_bytes, stream.stream_id)
            stream.uncredited_bytes = 0

"""The HTTP/2 protocol engine: the `h2` library's client side, with stricter limits and a graceful GOAWAY."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import ConnectionTerminated, Event
from h2.exceptions import DenialOfServiceError, FrameTooLargeError, ProtocolError
from h2.settings import SettingCodes, Settings
from hpack import Encoder
from hyperframe.frame import DataFrame, Frame, GoAwayFrame, HeadersFrame

from ..config.option_tables import Http2Options
from ..errors import GladewalkError
from ..limits.token_bucket import TokenBucket
from .protocol_fields import MAX_HEAD_BYTES

if TYPE_CHECKING:
    from h2._typing import Buffer

logging.getLogger("hpack.hpack").disabled = True  # formats a line for each field, logged or not
MAX_CLOSED_STREAMS = 4_096  # limits the memory for closed streams, for which delayed frames may be received
OPEN_STREAM_SWEEP_INTERVAL = 64  # opened streams between two removals of closed streams in the library
PREFIX_LENGTH_BYTES = 3  # a frame begins with its length, in 3 bytes (RFC 9113, section 4.1)


class FrameFloodError(GladewalkError, ProtocolError):
    """The server has sent more frames without payload than a correct server does."""

    error_code = ErrorCodes.ENHANCE_YOUR_CALM


def violation_name(error: ProtocolError) -> str:
    """Returns the name of a violation in the counters `h2.broke_rules.NAME`."""
    return "Flood" if isinstance(error, FrameFloodError) else type(error).__name__


class PlainEncoder(Encoder):
    """The library's HPACK encoder without Huffman coding, which costs more time here than its bytes save."""

    def encode(self, headers: Any, huffman: bool = False) -> bytes:
        """Returns a block of fields as literals without Huffman coding."""
        return super().encode(headers, huffman=False)


class Http2Engine(H2Connection):
    """`h2` as a client, without server push, with limits for heads and for frames without payload.

    Two of the library's internal methods and one property are overridden, because its public interface does
    not suffice. A test fails if a new version of the library no longer calls them.

    Attributes:
        control_frames: Limits the rate of frames without payload that the server may send.
    """

    MAX_CLOSED_STREAMS = MAX_CLOSED_STREAMS

    def __init__(
        self, options: Http2Options, clock: Callable[[], float], count: Callable[[str], None]
    ) -> None:
        super().__init__(
            H2Configuration(
                client_side=True,
                header_encoding=None,
                validate_outbound_headers=False,  # `encode_fields` makes all of them in valid order and case
                normalize_outbound_headers=False,
                normalize_inbound_headers=False,  # normalizing would only join cookies, and caches set none
            )
        )
        self.encoder = PlainEncoder()
        self.clock, self.count = clock, count
        self._opened_since_sweep = 0
        self.control_frames = TokenBucket(options.control_frame_burst, options.control_frames_per_s, clock())
        self.local_settings = Settings(
            client=True,
            initial_values={
                SettingCodes.ENABLE_PUSH: 0,
                SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEAD_BYTES,
                SettingCodes.INITIAL_WINDOW_SIZE: options.stream_window_bytes,
            },
        )
        self.decoder.max_header_list_size = MAX_HEAD_BYTES
        self.initiate_connection()
        extra = options.connection_window_bytes - self.inbound_flow_control_window
        if extra > 0:
            self.increment_flow_control_window(extra)

    def receive_data(self, data: Buffer) -> list[Event]:
        """Returns the events of received bytes; raises `ProtocolError` for a violation.

        Rejects a frame whose announced length is above the limit, and a head above its limit, before they are
        received completely. The library checks a frame's length only once the whole frame is received, and a
        head's length only once its last part is received.
        """
        events = super().receive_data(data)
        buffer = self.incoming_buffer
        announced_bytes = int.from_bytes(buffer._data[:PREFIX_LENGTH_BYTES], "big")
        parts = buffer._headers_buffer
        if announced_bytes > self.max_inbound_frame_size:
            error: ProtocolError = FrameTooLargeError(f"a frame of {announced_bytes} bytes is announced")
        elif parts and sum(len(part.data) for part in parts) > MAX_HEAD_BYTES:
            error = DenialOfServiceError(f"a head of more than {MAX_HEAD_BYTES} bytes")
        else:
            return events
        self._terminate_connection(error.error_code)
        raise error

    @property
    def open_outbound_streams(self) -> int:
        """Returns a number below any limit, as `StreamAllocator` checks the limit before a stream is opened.

        The library reads this for each stream that it opens. Its own implementation iterates over all
        streams, and the comparison of their number with the limit fails if the server has lowered the limit
        below it.
        """
        self._opened_since_sweep += 1
        if self._opened_since_sweep >= OPEN_STREAM_SWEEP_INTERVAL:
            self._opened_since_sweep = 0
            self._open_streams(1)  # iterates over all streams, and removes closed ones
        return -1

    def _receive_frame(self, frame: Frame) -> list[Event]:
        """Handles a frame; raises `FrameFloodError` for too many SETTINGS, PING, empty DATA, resets and such.

        Such a frame costs its sender nearly nothing, but costs the director a reply or processing time. DATA
        with payload and HEADERS of open streams are not counted.
        """
        stream = self.streams.get(frame.stream_id)
        is_open = stream is not None and stream.open
        has_payload = isinstance(frame, HeadersFrame) or (
            isinstance(frame, DataFrame) and (frame.data or "END_STREAM" in frame.flags)
        )
        if not (is_open and has_payload):
            if has_payload and not is_open:
                self.count("h2.stray_frames")  # on a stream that has ended or was never opened
            if not self.control_frames.take(self.clock()):
                raise FrameFloodError(f"too many frames without payload, the last is {type(frame).__name__}")
        elif isinstance(frame, DataFrame):  # the library's handler would format all bytes for a log line
            frames, events = self._receive_data_frame(frame)
            self._prepare_for_sending(frames)
            return events
        return super()._receive_frame(frame)

    def _receive_goaway_frame(self, frame: GoAwayFrame) -> tuple[list[Frame], list[Event]]:
        """Keeps the streams up to the last id open in both directions until they end (RFC 9113, section 6.8).

        The library's own handler closes its connection state at once and discards unsent data; the rest of a
        valid response would then count as a violation.
        """
        event = ConnectionTerminated()
        event.error_code = frame.error_code
        event.last_stream_id = frame.last_stream_id
        event.additional_data = frame.additional_data or None
        return [], [event]

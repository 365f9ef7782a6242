"""The protocol engine: `h2`'s client side, held to our bounds and kept going through a graceful GOAWAY."""

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
from ..streams.keep_alive import Bucket
from .protocol_fields import HEAD_MOST

if TYPE_CHECKING:
    from h2._typing import Buffer

logging.getLogger("hpack.hpack").disabled = True  # it has a line for each field, written or not
CLOSED_REMEMBERED = 4_096  # closed streams whose late frames are told from lies; bounds memory


class Flood(ProtocolError):
    """More frames that carry nothing than a server that means well ever sends."""

    error_code = ErrorCodes.ENHANCE_YOUR_CALM


class PlainEncoder(Encoder):
    """The library's encoder without Huffman's code, which costs more time than its bytes are worth here."""

    def encode(self, headers: Any, huffman: bool = False) -> bytes:
        return super().encode(headers, huffman=False)


class Engine(H2Connection):
    """`h2` as a client of a cache: no push, bounded heads, bounded noise.

    Two of the library's inner methods are replaced, and one property, for what its public side does not have;
    `tests/test_http2.py` fails if a new version no longer calls them.
    """

    MAX_CLOSED_STREAMS = CLOSED_REMEMBERED

    def __init__(self, terms: Http2Options, clock: Callable[[], float], count: Callable[[str], None]) -> None:
        super().__init__(
            H2Configuration(
                client_side=True,
                header_encoding=None,
                validate_outbound_headers=False,  # ours are made in one place, in the right order and case
                normalize_outbound_headers=False,
                normalize_inbound_headers=False,  # it joins cookies, and caches set none
            )
        )
        self.encoder = PlainEncoder()
        self.clock, self.count = clock, count
        self.noise = Bucket(terms.control_frame_burst, terms.control_frames_per_s, clock())
        self.local_settings = Settings(
            client=True,
            initial_values={
                SettingCodes.ENABLE_PUSH: 0,
                SettingCodes.MAX_HEADER_LIST_SIZE: HEAD_MOST,
                SettingCodes.INITIAL_WINDOW_SIZE: terms.stream_window_bytes,
            },
        )
        self.decoder.max_header_list_size = HEAD_MOST
        self.initiate_connection()
        extra = terms.connection_window_bytes - self.inbound_flow_control_window
        if extra > 0:
            self.increment_flow_control_window(extra)

    def receive_data(self, data: Buffer) -> list[Event]:
        """Guards against a frame that announces megabytes, and a head that goes on and on.

        The library looks at a frame's length once all of it is here, and at a head once its last part is.
        """
        events = super().receive_data(data)
        buffer = self.incoming_buffer
        announced = int.from_bytes(buffer._data[:3], "big")  # RFC 9113, 4.1
        parts = buffer._headers_buffer
        if announced > self.max_inbound_frame_size:
            error: ProtocolError = FrameTooLargeError(f"a frame of {announced} bytes is announced")
        elif parts and sum(len(part.data) for part in parts) > HEAD_MOST:
            error = DenialOfServiceError("a head without end")
        else:
            return events
        self._terminate_connection(error.error_code)
        raise error

    @property
    def open_outbound_streams(self) -> int:
        """Nothing: `Sharing` has counted before a stream is opened.

        The library walks through all streams here with each one that it opens, to compare their number with a
        limit that may have been lowered below it.
        """
        self.sweep_due += 1
        if self.sweep_due >= 64:  # the walk also forgets closed streams: now and then it must take place
            self.sweep_due = 0
            self._open_streams(1)
        return -1

    sweep_due = 0

    def _receive_frame(self, frame: Frame) -> list[Event]:
        """Guards against floods of SETTINGS, PING, empty DATA, resets and the like.

        Each costs the sender nothing and us an answer or a turn. DATA with content and HEADERS of open
        streams are what we asked for: they cost nothing here.
        """
        stream = self.streams.get(frame.stream_id)
        live = stream is not None and stream.open
        content = isinstance(frame, HeadersFrame) or (
            isinstance(frame, DataFrame) and (frame.data or "END_STREAM" in frame.flags)
        )
        if not (live and content):
            if content and not live:
                self.count("h2.stray_frames")  # on a stream that has ended, or never was
            if not self.noise.take(self.clock()):
                raise Flood(f"too many frames without content, the last of them {type(frame).__name__}")
        elif isinstance(frame, DataFrame):  # the library's own way begins with all its bytes in hexadecimal
            frames, events = self._receive_data_frame(frame)
            self._prepare_for_sending(frames)
            return events
        return super()._receive_frame(frame)

    def _receive_goaway_frame(self, frame: GoAwayFrame) -> tuple[list[Frame], list[Event]]:
        """RFC 9113, 6.8: the streams up to the last id go on, both ways, until they end.

        The library closes its connection state at once and drops what it had yet to send; it would then take
        the rest of a good answer for a breach.
        """
        event = ConnectionTerminated()
        event.error_code = frame.error_code
        event.last_stream_id = frame.last_stream_id
        event.additional_data = frame.additional_data or None
        return [], [event]

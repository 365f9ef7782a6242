"""Tracks how much of each request a server can have received, and decides whether it was processed.

When a stream ends without a complete response, the request may be sent again only if it was certainly not
processed. The server proves that in two ways (RFC 9113, section 8.7): by a GOAWAY whose last stream id is
lower than the stream's (section 6.8), and by RST_STREAM with REFUSED_STREAM. A request is also certainly
unprocessed if the kernel did not accept its whole head for sending. In every other case it may have been
processed.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

NO_ERROR = 0x0  # error codes of RFC 9113, section 7
REFUSED_STREAM = 0x7
ENHANCE_YOUR_CALM = 0xB
HTTP_1_1_REQUIRED = 0xD


class TransmissionProgress(IntEnum):
    """How much of a request the kernel has accepted; no more than that can have reached the server."""

    NOTHING = 0
    PARTIAL_HEAD = 1
    HEAD = 2
    COMPLETE = 3


class EndReason(Enum):
    """Why a stream ended without a complete response; counter names contain the values."""

    NOT_TRANSMITTED = "not_taken"  # the kernel accepted nothing of the head
    HEAD_INCOMPLETE = "head_not_whole"  # the kernel did not accept all of the head
    ABOVE_GOAWAY = "above_goaway"  # the stream's id is above the GOAWAY's last one (RFC 9113, section 6.8)
    REFUSED = "refused"  # RFC 9113, section 8.7: REFUSED_STREAM, before any processing
    RESET = "reset"  # RST_STREAM with any other code
    CONNECTION_LOST = "lost"  # the connection was closed, and no GOAWAY excluded the stream
    KEEP_ALIVE_TIMEOUT = "silent"  # no byte was received after a PING
    PROTOCOL_ERROR = "broke_rules"  # the server violated the protocol, so its frames prove nothing more
    CANCELLED = "given_up"  # by the director


UNPROCESSED_REASONS = frozenset(
    (EndReason.NOT_TRANSMITTED, EndReason.HEAD_INCOMPLETE, EndReason.ABOVE_GOAWAY, EndReason.REFUSED)
)


@dataclass(slots=True, frozen=True)
class StreamOutcome:
    """How a stream ended; `code` is the error code of the server's frame, if it sent one."""

    stream_id: int
    reason: EndReason
    progress: TransmissionProgress
    code: int = NO_ERROR

    @property
    def is_unprocessed(self) -> bool:
        """Whether the server certainly has not processed the request."""
        return self.reason in UNPROCESSED_REASONS


@dataclass(slots=True)
class TrackedStream:
    """An open stream's request, located by offsets in the bytes that the connection has sent.

    Attributes:
        start: Offset at which the head begins.
        head_end: Offset at which the head ends.
        end: Offset at which the body ends; None while part of the body has not been sent.
        has_response: Whether the response has begun.
    """

    start: int
    head_end: int
    end: int | None
    has_response: bool = False


class StreamTracker:
    """The open streams of one connection.

    Attributes:
        last_allowed_id: The last stream id of the GOAWAY in force; None if none was received.
        raised_goaways: How many GOAWAYs had a higher last stream id than the GOAWAY before.
    """

    def __init__(self) -> None:
        self.streams: dict[int, TrackedStream] = {}
        self.last_allowed_id: int | None = None
        self.raised_goaways = 0

    def open_stream(self, stream_id: int, start: int, head_end: int, is_complete: bool) -> None:
        """Records a head, sent as the bytes `start` to `head_end`; `is_complete`: the request has no body."""
        self.streams[stream_id] = TrackedStream(start, head_end, head_end if is_complete else None)

    def body_ended(self, stream_id: int, end: int) -> None:
        """Records that the request's body ends at offset `end` of the connection's bytes."""
        if stream_id in self.streams:
            self.streams[stream_id].end = end

    def response_started(self, stream_id: int) -> None:
        """Records that the response has begun, so that the request counts as processed from now on."""
        if stream_id in self.streams:
            self.streams[stream_id].has_response = True

    def response_completed(self, stream_id: int) -> None:
        """Removes a stream whose response is complete."""
        self.streams.pop(stream_id, None)

    def progress(self, stream_id: int, accepted_bytes: int) -> TransmissionProgress:
        """Returns how much of a request is in the first `accepted_bytes` bytes of the connection."""
        stream = self.streams[stream_id]
        if stream.has_response:
            return TransmissionProgress.COMPLETE
        if accepted_bytes <= stream.start:
            return TransmissionProgress.NOTHING
        if accepted_bytes < stream.head_end:
            return TransmissionProgress.PARTIAL_HEAD
        is_complete = stream.end is not None and accepted_bytes >= stream.end
        return TransmissionProgress.COMPLETE if is_complete else TransmissionProgress.HEAD

    def reset(self, stream_id: int, code: int, accepted_bytes: int) -> StreamOutcome | None:
        """Ends a stream that the server has reset; returns None for one that is not open."""
        if stream_id not in self.streams:
            return None
        # REFUSED_STREAM contradicts a response that has begun, and then proves nothing.
        is_refused = code == REFUSED_STREAM and not self.streams[stream_id].has_response
        reason = EndReason.REFUSED if is_refused else EndReason.RESET
        return self._end(stream_id, reason, accepted_bytes, code)

    def goaway(self, last_id: int, code: int, accepted_bytes: int) -> list[StreamOutcome]:
        """Ends the streams above a GOAWAY's last stream id as unprocessed; the other streams stay open.

        A graceful shutdown has two GOAWAYs, the first with the highest possible id (RFC 9113, section 6.8).
        A GOAWAY with a higher id than the one before violates the protocol: it is counted, and the lower id
        stays in force.
        """
        if self.last_allowed_id is not None and last_id > self.last_allowed_id:
            self.raised_goaways += 1
            return []
        self.last_allowed_id = last_id
        excluded = [
            stream_id
            for stream_id, stream in self.streams.items()
            if stream_id > last_id and not stream.has_response
        ]
        return [
            self._end(stream_id, EndReason.ABOVE_GOAWAY, accepted_bytes, code)
            for stream_id in sorted(excluded)
        ]

    def cancel(self, stream_id: int, accepted_bytes: int) -> StreamOutcome | None:
        """Ends a stream whose response is not needed any more."""
        return self._end_if_open(stream_id, EndReason.CANCELLED, accepted_bytes)

    def protocol_error(self, stream_id: int, accepted_bytes: int) -> StreamOutcome | None:
        """Ends a stream on which the server violated the protocol, so that its frames prove nothing."""
        return self._end_if_open(stream_id, EndReason.PROTOCOL_ERROR, accepted_bytes)

    def connection_closed(
        self, reason: EndReason, accepted_bytes: int, code: int = NO_ERROR
    ) -> list[StreamOutcome]:
        """Ends all open streams.

        `accepted_bytes` is an upper bound of the connection's bytes that the kernel has accepted. If none is
        known, it must be the number of all sent bytes: a number that is too low would make a request that was
        processed count as unprocessed.
        """
        outcomes = []
        for stream_id in sorted(self.streams):
            progress = self.progress(stream_id, accepted_bytes)
            own_reason = {
                TransmissionProgress.NOTHING: EndReason.NOT_TRANSMITTED,
                TransmissionProgress.PARTIAL_HEAD: EndReason.HEAD_INCOMPLETE,
            }.get(progress, reason)
            outcomes.append(self._end(stream_id, own_reason, accepted_bytes, code))
        return outcomes

    def _end_if_open(self, stream_id: int, reason: EndReason, accepted_bytes: int) -> StreamOutcome | None:
        return self._end(stream_id, reason, accepted_bytes) if stream_id in self.streams else None

    def _end(
        self, stream_id: int, reason: EndReason, accepted_bytes: int, code: int = NO_ERROR
    ) -> StreamOutcome:
        progress = self.progress(stream_id, accepted_bytes)
        del self.streams[stream_id]
        return StreamOutcome(stream_id, reason, progress, code)

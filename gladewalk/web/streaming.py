"""Streams responses that are too large to buffer, as nginx does when a response exceeds its buffers.

The exchange buffers a response completely if its length is known and at most `MAX_OBJECT_BYTES`. A larger
response, or one whose length is not known before its end, is streamed: each piece is forwarded to the client
when it is received. If the server's response breaks off, the client's connection is closed.

A stop does not cut a streamed response while bytes arrive: its client would lose what it can still get before
the process is killed, if it is killed at all. One that stalls ends with the stop.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol, cast

from .. import interface as api
from ..config.platform import PlatformConfig
from ..core.exchange import Attempt, AttemptResult, Exchange, FinalAnswer, OpenRequest, ResponseHead
from ..core.outcome_counters import Outcome, outcome_counter
from ..core.response_buffer import MAX_OBJECT_BYTES
from .messages import BODILESS_STATUSES, ProxyRequest, ProxyResponseHead
from .shared_services import SharedServices

STALL_MS = 500.0  # at a stop: a streamed response ends if its server sent nothing for this long


class StreamWriter(Protocol):
    """The client side of a streamed response."""

    def start_response(self, head: ResponseHead) -> None:
        """Sends the head of a server's response."""

    def write_body(self, data: bytes) -> None:
        """Sends a piece of the response's body."""

    def end_response(self) -> None:
        """Ends a complete response."""

    def abort_response(self) -> None:
        """Closes the connection, so that the client sees that the response it was receiving is incomplete."""


class StreamingExchange(Exchange):
    """An exchange that streams responses that are too large to buffer.

    Attributes:
        streams: The attempts whose responses are being streamed, by the numbers of their requests.
        last_data_ms: When data of each streamed response was last received, by the number of its request.
    """

    def __init__(self, config: PlatformConfig, services: SharedServices) -> None:
        super().__init__(
            config, services.clock, services.deadlines, services.counters, services.log, services.memory
        )
        self.final_deadlines = services.final_deadlines
        self.streams: dict[int, Attempt] = {}
        self.last_data_ms: dict[int, float] = {}

    def is_streaming(self, opened: OpenRequest) -> bool:
        """Whether a response to the request is being streamed: part of it has been sent to the client."""
        return opened.number in self.streams

    def set_reading(self, number: int, on: bool) -> None:
        """Resumes (`on`) or pauses reading a streamed response when the client's buffer drains or fills."""
        attempt = self.streams.get(number)
        if attempt is not None:
            self._set_reading(attempt, on)

    def response_started(self, attempt: Attempt, head: ResponseHead) -> bool:
        """Buffers a response or starts to stream it.

        Returns:
            False if the request has been answered or another response to it is being streamed; the attempt is
            then cancelled.
        """
        opened = attempt.open_request
        if opened.is_answered or self.is_streaming(opened):
            self._cancel(attempt)
            return False
        if _is_bounded(opened, head):
            return super().response_started(attempt, head)
        self.streams[opened.number] = attempt
        self.last_data_ms[opened.number] = self.clock()
        self.deadlines.drop(attempt.timer)
        attempt.timer = None
        _writer(opened).start_response(head)
        elapsed_ms = self.clock() - attempt.started_ms
        self.handle_event(api.FirstByte(opened.number, attempt.number, attempt.decision.server, elapsed_ms))
        for other in [other for other in opened.attempts.values() if other is not attempt]:
            self._cancel(other)
        return True

    def response_body(self, attempt: Attempt, data: bytes) -> None:
        """Buffers a piece of the body, or forwards it if the response is streamed."""
        opened = attempt.open_request
        if self.streams.get(opened.number) is not attempt:
            super().response_body(attempt, data)
        elif not opened.is_answered:
            self.last_data_ms[opened.number] = self.clock()
            _writer(opened).write_body(data)

    def attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        """Ends the response that the attempt streamed, if any, and then the attempt itself."""
        opened = attempt.open_request
        if self.streams.get(opened.number) is attempt:
            del self.streams[opened.number], self.last_data_ms[opened.number]
            if not opened.is_answered:
                self._end_stream(opened, result.status)
        super().attempt_ended(attempt, result)

    def _end_stream(self, opened: OpenRequest, status: api.Status) -> None:
        is_complete = status is api.Status.OK
        self.counters.add("answers.served" if is_complete else "answers.cut")
        outcome = Outcome.COMPLETED if is_complete else Outcome.FAILED
        self.counters.add(outcome_counter(opened.request.class_name, outcome))
        self._close(opened)
        if is_complete:
            _writer(opened).end_response()
        else:
            self.request_log.ended(opened, "cut", f"attempt ended: {status.value}")
            _writer(opened).abort_response()

    def _finish(self, number: int, final: FinalAnswer, reason: str, retry_after_ms: float = 0.0) -> None:
        opened = self.open_requests.get(number)
        if opened is not None and not opened.is_answered and self.is_streaming(opened):
            self._end_stream(opened, api.Status.CANCELLED)
            self._forget(opened)
        else:
            super()._finish(number, final, reason, retry_after_ms)

    def _fail_at_stop(self, opened: OpenRequest) -> None:
        if not self._outlasts_stop(opened, self._fail_at_stop):
            super()._fail_at_stop(opened)

    def _request_timed_out(self, opened: OpenRequest) -> None:
        if not self._outlasts_stop(opened, self._request_timed_out):
            super()._request_timed_out(opened)

    def _outlasts_stop(self, opened: OpenRequest, end: Callable[[OpenRequest], None]) -> bool:
        """Whether a stop lets a streamed response go on; `end` is called once it may have stalled."""
        is_stopping = self.final_deadlines.latest_ms < math.inf
        if not is_stopping or opened.is_answered or not self.is_streaming(opened):
            return False
        stalled_ms = self.last_data_ms[opened.number] + STALL_MS
        if self.clock() >= stalled_ms:
            return False
        opened.timer = self.deadlines.add(stalled_ms, lambda: end(opened))
        return True


def _is_bounded(opened: OpenRequest, head: ResponseHead) -> bool:
    request = opened.request
    is_head_request = isinstance(request, ProxyRequest) and request.verb == "HEAD"
    is_bodiless_status = isinstance(head, ProxyResponseHead) and head.status in BODILESS_STATUSES
    if is_head_request or is_bodiless_status:
        return True
    return head.content_length is not None and head.content_length <= MAX_OBJECT_BYTES


def _writer(opened: OpenRequest) -> StreamWriter:
    return cast(StreamWriter, opened.client)

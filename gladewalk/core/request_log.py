"""The request log: one line for each request that fails, is rejected or cut, with the steps that led to it.

Each step is appended to a list of the request. A line is formatted only if the director ends a request
without a server's response. The rate of lines is limited, so that an overloaded director does not write more
log lines than responses; lines over the limit are dropped and counted.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..limits.token_bucket import TokenBucket
from .counters import Counters
from .exchange_types import OpenRequest

LINES_PER_S = 20.0
"""Lines per second that may be written continuously."""

MAX_BURST_LINES = 60.0
"""Lines that may be written at once after a time with no lines."""

MAX_STEPS = 64
"""Steps recorded for one request; later ones are dropped."""


class RequestLog:
    """Records the steps of requests and writes a line for each one that fails, is rejected or cut.

    Attributes:
        emit: Writes a line, given the name of its event and its fields; None if nothing is to be written.
    """

    def __init__(self, clock: Callable[[], float], counters: Counters) -> None:
        self.emit: Callable[..., Any] | None = None
        self._clock, self._counters = clock, counters
        self._lines = TokenBucket(MAX_BURST_LINES, LINES_PER_S, clock())

    def note(self, opened: OpenRequest, step: str, *details: object) -> None:
        """Records a step of a request and its details, such as the attempt, the server or the status."""
        if len(opened.steps) < MAX_STEPS:
            opened.steps.append((self._clock() - opened.received_ms, step, details))

    def ended(self, opened: OpenRequest, end: str, reason: str) -> None:
        """Writes the line of a request that ended without a server's complete response.

        Args:
            opened: The request.
            end: How it ended for its client: `failed`, `rejected` or `cut`.
            reason: Why it ended.
        """
        if self.emit is None or not self._take_token():
            return
        request = opened.request
        self.emit(
            "request_ended",
            id=request.trace_id,
            request_class=request.class_name,
            end=end,
            reason=reason,
            age_ms=round(self._clock() - opened.received_ms, 1),
            max_wait_ms=request.max_wait_ms,
            steps=[_format_step(*step) for step in opened.steps],
        )

    def connection_closed(self, reason: str, trace_id: str | None, unanswered: int) -> None:
        """Writes the line of a client connection that is closed despite unread input or an open request.

        Args:
            reason: Why it is closed.
            trace_id: The id of the request that is open on it; None if there is none.
            unanswered: The number of requests that were read but not submitted.
        """
        if self.emit is not None and self._take_token():
            self.emit("client_closed", reason=reason, id=trace_id, unanswered=unanswered)

    def surplus_read(self, server: str, trace_id: str, lateness_ms: float) -> None:
        """Writes the line of surplus bytes, which a server sent after a complete response.

        Args:
            server: The server's name.
            trace_id: The id of the request that the response belongs to; empty for a health check.
            lateness_ms: The time from the end of the response until the surplus bytes were read.
        """
        if self.emit is not None and self._take_token():
            self.emit("surplus_read", server=server, id=trace_id, late_ms=round(lateness_ms, 1))

    def _take_token(self) -> bool:
        is_admitted = self._lines.take(self._clock())
        if not is_admitted:
            self._counters.add("log.request_lines_dropped")
        return is_admitted


def _format_step(elapsed_ms: float, step: str, details: tuple[object, ...]) -> str:
    return " ".join([f"+{elapsed_ms:.1f}", step, *(str(detail) for detail in details)])

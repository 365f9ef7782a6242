"""The request log: what happened to a request, step by step, and one line for each that ends badly.

Steps are noted on the request itself and cost an append; a line is made only where the director ends a
request without a server's response. Lines are limited in rate, so that an overload does not write more than
it serves; what the limit drops is counted.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..limits.token_bucket import TokenBucket
from .counters import Counters
from .exchange_types import OpenRequest

LINES_PER_S = 20.0
"""The rate of lines that is sustained."""

MAX_BURST_LINES = 60.0
"""Lines that may be written at once after a quiet time."""

MAX_STEPS = 64
"""Steps kept of one request; later ones are dropped."""


class RequestLog:
    """Notes the steps of requests and writes a line for each request that ends badly.

    Attributes:
        emit: Writes a line, given its event's name and its fields; None: nothing is written.
    """

    def __init__(self, clock: Callable[[], float], counters: Counters) -> None:
        self.emit: Callable[..., Any] | None = None
        self._clock, self._counters = clock, counters
        self._lines = TokenBucket(MAX_BURST_LINES, LINES_PER_S, clock())

    def note(self, opened: OpenRequest, step: str, *details: object) -> None:
        """Notes a step of a request: what happened, and to which attempt, server or status."""
        if len(opened.steps) < MAX_STEPS:
            opened.steps.append((self._clock() - opened.received_ms, step, details))

    def ended(self, opened: OpenRequest, end: str, reason: str) -> None:
        """Writes the line of a request that ended badly.

        Args:
            opened: The request.
            end: How it ended for its client: `failed`, `rejected` or `cut`.
            reason: What ended it.
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
        """Writes the line of a client's connection that the director closes over input or a request.

        Args:
            reason: Why it is closed.
            trace_id: Of the request that is open on it; None: only input is unread.
            unanswered: Requests that were read and not submitted.
        """
        if self.emit is not None and self._take_token():
            self.emit("client_closed", reason=reason, id=trace_id, unanswered=unanswered)

    def surplus_read(self, server: str, trace_id: str, lateness_ms: float) -> None:
        """Writes the line of bytes that a server sent behind a complete response.

        Args:
            server: The server's name.
            trace_id: Of the request that the response answered; empty: a health check.
            lateness_ms: How long after the response's end they were read.
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

"""Work items, which the pool sends to servers (attempts and health checks), and the interfaces they need."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from .. import interface as api
from ..core.counters import Counters
from ..core.deadlines import DeadlineKey, Deadlines
from ..core.exchange import Attempt, AttemptResult, Exchange
from ..net.bounded_reads import ReadTurns


class HealthCheck:
    """A health check of one server: a GET without a client.

    Attributes:
        on_result: Called once with the status, the duration in ms and the server's load report.
        started_ms: When it was started, Unix milliseconds.
        path: The path of its request.
        carrier: The connection, stream or queue entry that it is on, as for an attempt.
        timer: Its timeout.
    """

    def __init__(
        self, on_result: Callable[[api.Status, float, Any], None], started_ms: float, path: str
    ) -> None:
        self.on_result, self.started_ms, self.path = on_result, started_ms, path
        self.carrier: Carrier | None = None
        self.timer: DeadlineKey | None = None


WorkItem = Attempt | HealthCheck


class Carrier(Protocol):
    """An HTTP/1.1 connection or HTTP/2 stream that carries a work item, or the work item's queue entry."""

    def cancel(self, item: WorkItem) -> None:
        """Abandons the work item: the pool gets no further calls about it."""

    def set_reading(self, item: WorkItem, on: bool) -> None:
        """Resumes (`on`) or pauses reading the response."""


class ConnectionOwner(Protocol):
    """The part of the pool that a connection uses."""

    @property
    def exchange(self) -> Exchange:
        """The exchange, to which heads and bodies of responses are forwarded."""

    @property
    def counters(self) -> Counters:
        """The program's counters."""

    @property
    def deadlines(self) -> Deadlines:
        """The program's timers."""

    @property
    def read_turns(self) -> ReadTurns:
        """Where connections wait for their turns to read."""

    @property
    def open_connections(self) -> set[asyncio.BaseProtocol]:
        """Every open connection of the pool; a connection adds and removes itself."""

    def clock(self) -> float:
        """Returns the time, Unix milliseconds."""

    def finish(self, item: WorkItem, result: AttemptResult) -> None:
        """Ends a work item with its result."""

    def serve_waiting(self) -> None:
        """Assigns available connections to waiting work items."""

"""What the pool sends to servers, attempts and health checks, and the interfaces around such a work item."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from .. import interface as api
from ..core.counters import Counters
from ..core.deadlines import DeadlineKey, Deadlines
from ..core.exchange import Attempt, AttemptResult, Exchange


class HealthCheck:
    """A health check of one server: a GET without a client.

    Attributes:
        on_result: Called once with the status, the duration in ms and the server's load report.
        started_ms: When it was asked for, Unix milliseconds.
        path: The path of its request.
        carrier: As an attempt's.
        timer: When it times out.
    """

    def __init__(
        self, on_result: Callable[[api.Status, float, Any], None], started_ms: float, path: str
    ) -> None:
        self.on_result, self.started_ms, self.path = on_result, started_ms, path
        self.carrier: Carrier | None = None
        self.timer: DeadlineKey | None = None


WorkItem = Attempt | HealthCheck


class Carrier(Protocol):
    """What a work item is on: an HTTP/1.1 connection, a stream of an HTTP/2 one, or the wait for either."""

    def cancel(self, item: WorkItem) -> None:
        """Abandons the work item silently: the pool is not called about it any more."""

    def set_reading(self, item: WorkItem, on: bool) -> None:
        """Resumes (`on`) or pauses reading the response."""


class ConnectionOwner(Protocol):
    """What a connection needs of the pool that owns it."""

    @property
    def exchange(self) -> Exchange:
        """Where heads and bodies of responses go."""

    @property
    def counters(self) -> Counters:
        """The program's counters."""

    @property
    def deadlines(self) -> Deadlines:
        """The program's timers."""

    @property
    def open_connections(self) -> set[asyncio.Protocol]:
        """Every open connection of the pool; a connection adds and removes itself."""

    def clock(self) -> float:
        """Returns the time, Unix milliseconds."""

    def finish(self, item: WorkItem, result: AttemptResult) -> None:
        """Ends a work item with its result."""

    def serve_waiting(self) -> None:
        """Gives waiting work items the connections that are available now."""

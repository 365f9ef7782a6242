"""The interface that a client's connection requires from the listener that accepted it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from ..core.counters import Counters
from ..core.exchange import ClientRequest, Exchange
from ..core.readiness import Readiness
from .bounded_reads import ReadTurns
from .input_limit import InputLimit
from .read_turns import ReadIterations
from .unsent_responses import UnsentResponses

Connection = TypeVar("Connection", contravariant=True)


class ConnectionOwner(Protocol[Connection]):
    """The listener that accepted a connection, as that connection uses it."""

    exchange: Exchange
    clock: Callable[[], float]
    counters: Counters
    readiness: Readiness
    max_body_bytes: int
    is_closing: bool
    sends_hold_off: bool
    read_iterations: ReadIterations
    read_turns: ReadTurns
    unsent_responses: UnsentResponses
    input_limit: InputLimit

    def connection_opened(self, connection: Connection) -> None:
        """Registers a connection whose transport has been made."""

    def connection_closed(self, connection: Connection) -> None:
        """Removes a connection that has closed."""

    def update_state(self, connection: Connection) -> None:
        """Records whether a connection has an open request, awaits one or is idle."""

    def start_lingering(self, connection: Connection) -> None:
        """Records that a connection's last response is written and its further input is discarded."""

    def watch_paused(self, connection: Connection) -> None:
        """Starts periodic checks whether the client of a paused connection has disconnected."""

    def rejection_status(self, request: ClientRequest) -> int | None:
        """Returns the status for a request that no server could serve, otherwise None."""

    def claim_trace_id(self, request: ClientRequest) -> bool:
        """Claims the request's id; False if an open request for another object uses it."""

    def release_trace_id(self, request: ClientRequest) -> None:
        """Frees the request's id."""

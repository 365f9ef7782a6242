"""The interface that a client's connection needs of the listener that accepted it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from ..core.counters import Counters
from ..core.exchange import ClientRequest, Exchange
from ..core.readiness import Readiness
from .read_turns import ReadTurns

Connection = TypeVar("Connection", contravariant=True)


class ConnectionOwner(Protocol[Connection]):
    """What a connection needs of the listener that accepted it."""

    exchange: Exchange
    clock: Callable[[], float]
    counters: Counters
    readiness: Readiness
    max_body_bytes: int
    is_closing: bool
    sends_hold_off: bool
    read_turns: ReadTurns

    def connection_opened(self, connection: Connection) -> None:
        """Registers a connection whose transport has been made."""

    def connection_closed(self, connection: Connection) -> None:
        """Forgets a connection."""

    def update_state(self, connection: Connection) -> None:
        """Notes whether a connection has a request open, awaits one or is idle."""

    def start_lingering(self, connection: Connection) -> None:
        """Notes that a connection's last answer is written, and its input is discarded."""

    def watch_paused(self, connection: Connection) -> None:
        """Checks from time to time whether the client of a connection that is not read has disconnected."""

    def rejection_status(self, request: ClientRequest) -> int | None:
        """Returns the status for a request that no server could serve, else None."""

    def claim_trace_id(self, request: ClientRequest) -> bool:
        """Whether the request's id is free, or in use for the same object."""

    def release_trace_id(self, request: ClientRequest) -> None:
        """Frees the request's id."""

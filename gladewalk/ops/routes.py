"""Routes of the second address, for operators: readiness, metrics and draining.

`DirectorState` and the other protocols here declare every attribute of a director that the routes use. This
package therefore does not depend on the parts of a director.
"""

from __future__ import annotations

from typing import Protocol

from ..core.counters import Counters
from ..core.deadlines import Deadlines
from ..core.readiness import Readiness
from ..interface import ServerState
from ..net.admin import AdminFront, Handler, Response
from ..registry.state import RoutingState
from .metrics import Gauges, format_metrics


class DispatcherView(Protocol):
    """The attributes of the decision module that the routes read."""

    @property
    def state(self) -> RoutingState:
        """The state that has the servers and the request classes."""


class ExchangeView(Protocol):
    """The attributes of the exchange between clients and upstream servers that the routes read."""

    @property
    def unanswered_count(self) -> int:
        """Number of accepted requests that have no final answer yet."""

    @property
    def dispatcher(self) -> DispatcherView:
        """The decision module."""

    def clock(self) -> float:
        """Returns the current time in Unix ms."""


class EventLog(Protocol):
    """A structured log."""

    def info(self, event: str, /, **fields: object) -> object:
        """Writes one event with its fields."""


class DirectorState(Protocol):
    """The attributes of a running director that the routes use; they change only `readiness`."""

    @property
    def readiness(self) -> Readiness:
        """Whether the director is ready, draining or stopping."""

    @property
    def exchange(self) -> ExchangeView:
        """Requests, servers and the clock."""

    @property
    def counters(self) -> Counters:
        """Counters since the director's start."""

    @property
    def deadlines(self) -> Deadlines:
        """Timers of the director's event loop."""

    @property
    def log(self) -> EventLog:
        """The director's log."""


def read_gauges(exchange: ExchangeView) -> Gauges:
    """Returns the current numbers of pending requests, listed servers and unavailable servers."""
    now_ms = exchange.clock()
    servers = exchange.dispatcher.state.registry.servers.values()
    listed = [server for server in servers if server.info.state is not ServerState.GONE]
    unavailable = [
        server
        for server in listed
        if server.info.state is not ServerState.READY or now_ms < server.backoff_until_ms
    ]
    return Gauges(exchange.unanswered_count, len(listed), len(unavailable))


class OperatorRoutes:
    """The request handlers of the second address, bound to one director."""

    def __init__(self, director: DirectorState) -> None:
        self._director = director

    def routes(self) -> dict[str, dict[str, Handler]]:
        """Returns the handlers by path, then by method."""
        return {
            "/ops/readiness": {"GET": self._get_readiness},
            "/ops/stats": {"GET": self._get_stats},
            "/ops/drain/start": {"PUT": self._start_drain},
            "/ops/drain/stop": {"PUT": self._stop_drain},
        }

    def _get_readiness(self) -> Response:
        return (
            Response(200, b"ready\n") if self._director.readiness.is_ready else Response(503, b"not ready\n")
        )

    def _get_stats(self) -> Response:
        exchange = self._director.exchange
        classes = exchange.dispatcher.state.classes
        return Response(200, format_metrics(self._director.counters, classes, read_gauges(exchange)))

    def _start_drain(self) -> Response:
        self._director.readiness.start_drain(self._director.exchange.clock())
        self._director.log.info("drain", on=True)
        return Response(200, b"draining\n")

    def _stop_drain(self) -> Response:
        self._director.readiness.stop_drain()
        self._director.log.info("drain", on=False)
        return Response(200, b"ready\n" if self._director.readiness.is_ready else b"not ready\n")


def build_admin_front(director: DirectorState) -> AdminFront:
    """Builds the front of the second address; its method `listen` opens the listener."""
    routes = OperatorRoutes(director).routes()
    return AdminFront(routes, director.exchange.clock, director.deadlines, director.counters)

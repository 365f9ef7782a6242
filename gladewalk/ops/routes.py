"""Routes of the second address: readiness, metrics and draining, answered from the director's own state.

`DirectorState` and the protocols above it state all that is read of a director, so that this package depends
on none of the parts that compose one.
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
    """What is read of the decision module."""

    @property
    def state(self) -> RoutingState:
        """Servers and request classes, among others."""


class ExchangeView(Protocol):
    """What is read of the exchange between clients and upstream servers."""

    @property
    def unanswered_count(self) -> int:
        """Requests accepted and not answered yet."""

    @property
    def dispatcher(self) -> DispatcherView:
        """The decision module."""

    def clock(self) -> float:
        """Returns the present time in Unix ms."""


class EventLog(Protocol):
    """A structured log."""

    def info(self, event: str, /, **fields: object) -> object:
        """Writes one event with its fields."""


class DirectorState(Protocol):
    """What the routes read of a running director, and the readiness that they change."""

    @property
    def readiness(self) -> Readiness:
        """The state that readiness is answered from."""

    @property
    def exchange(self) -> ExchangeView:
        """Requests, servers and the clock."""

    @property
    def counters(self) -> Counters:
        """Counts since the start."""

    @property
    def deadlines(self) -> Deadlines:
        """Timers of the director's loop."""

    @property
    def log(self) -> EventLog:
        """The director's log."""


def read_gauges(exchange: ExchangeView) -> Gauges:
    """Returns the pending requests and the listed caches, with those that take no requests for the moment."""
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
    """The handlers of the second address, bound to one director."""

    def __init__(self, director: DirectorState) -> None:
        self._director = director

    def routes(self) -> dict[str, dict[str, Handler]]:
        """Returns the handlers by path and method."""
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
    """Builds the listener of the second address; it listens once its own `listen` is called."""
    routes = OperatorRoutes(director).routes()
    return AdminFront(routes, director.exchange.clock, director.deadlines, director.counters)

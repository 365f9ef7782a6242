"""The types of shared tasks. To add a type, add a class here and list it in `start.py`."""

from __future__ import annotations

from collections.abc import Iterable

from .. import interface as api
from ..core.exchange import Exchange
from ..upstream.pool import ConnectionPool
from .runner import ResultCallback


class ServerQueryTask:
    """Sends a short request to each server of some roles and passes the results to the decision module."""

    kind = ""
    path = ""
    roles: frozenset[api.Role] = frozenset()

    def __init__(self, exchange: Exchange, pool: ConnectionPool, interval_ms: float) -> None:
        self.exchange, self.pool, self.interval_ms = exchange, pool, interval_ms

    def targets(self) -> Iterable[str]:
        """Returns the servers of its roles that the coordinator lists and that are not draining."""
        for name, server in self.exchange.dispatcher.state.registry.servers.items():
            if server.info.role in self.roles and server.info.state is api.ServerState.READY:
                yield name

    def perform(self, target: str, on_result: ResultCallback) -> None:
        """Sends one request to the server."""
        self.pool.probe(target, on_result, self.path)

    def record_result(self, result: api.HealthCheckResult) -> None:
        """Passes a result to the decision module."""
        self.exchange.handle_event(result)


class CacheHealthCheck(ServerQueryTask):
    """Requests every cache server's load report, if the settings allow health checks."""

    kind, path, roles = "load", "/load", frozenset((api.Role.CACHE,))

    def targets(self) -> Iterable[str]:
        """Returns the cache servers, or none if the settings forbid health checks."""
        return super().targets() if self.exchange.dispatcher.state.settings.may_check_health else ()


class SourceHealthCheck(ServerQueryTask):
    """Checks whether parents and the origin respond."""

    kind, path, roles = "alive", "/alive", frozenset((api.Role.PARENT, api.Role.ORIGIN))

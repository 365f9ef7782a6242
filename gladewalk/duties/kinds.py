"""The duties that there are: each kind is one class, and this is where a further one goes."""

from __future__ import annotations

from collections.abc import Iterable

from .. import interface as api
from ..core.exchange import Exchange
from ..upstream.pool import Caches
from .runner import Found


class Asked:
    """A duty that asks a server for a short answer, and gives what was found to the module."""

    kind = ""
    path = ""
    roles: frozenset[api.Role] = frozenset()

    def __init__(self, exchange: Exchange, pool: Caches, interval_ms: float) -> None:
        self.exchange, self.pool, self.interval_ms = exchange, pool, interval_ms

    def names(self) -> Iterable[str]:
        """The servers of its roles that the coordinator lists and that do not drain."""
        for name, server in self.exchange.core.state.registry.servers.items():
            if server.info.role in self.roles and server.info.state is api.ServerState.READY:
                yield name

    def do(self, name: str, found: Found) -> None:
        self.pool.probe(name, found, self.path)

    def learn(
        self, name: str, status: api.Status, took_ms: float, load: dict[str, float] | None, age_ms: float
    ) -> None:
        self.exchange.handle_event(api.HealthCheckResult(name, status, took_ms, load, age_ms))


class ProbeBoxes(Asked):
    """Every box's load report, where the settings let a director probe at all."""

    kind, path, roles = "load", "/load", frozenset((api.Role.CACHE,))

    def names(self) -> Iterable[str]:
        return super().names() if self.exchange.core.state.settings.may_check_health else ()


class CheckSources(Asked):
    """Whether parents and the origin answer at all."""

    kind, path, roles = "alive", "/alive", frozenset((api.Role.PARENT, api.Role.ORIGIN))

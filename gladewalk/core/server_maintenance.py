"""Sends health checks and closes idle connections at the request of the decision module."""

from __future__ import annotations

from collections.abc import Callable

from .. import interface as api
from .counters import Counters
from .exchange_types import UpstreamPool


def maintain_server(
    action: api.HealthCheck | api.CloseIdle,
    upstreams: UpstreamPool,
    counters: Counters,
    on_event: Callable[[api.Event], None],
) -> None:
    """Sends a health check and passes its result to `on_event`, or closes the server's idle connections."""
    server = action.server
    if isinstance(action, api.CloseIdle):
        return upstreams.close_idle(server)
    counters.add("probes.sent")
    upstreams.probe(
        server,
        lambda status, elapsed_ms, load: on_event(api.HealthCheckResult(server, status, elapsed_ms, load)),
    )

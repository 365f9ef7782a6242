"""Health checks, idle connections and changes of the endpoint list, as the connection pool gets them."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from .. import interface as api
from ..config.platform import Address
from ..registry.servers import ServerRegistry
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


def update_pool(
    upstreams: UpstreamPool,
    registry: ServerRegistry,
    event: api.EndpointList,
    addresses: Mapping[str, Address | None],
    models: Mapping[str, str],
) -> None:
    """Hands a list or a change to the pool, before `registry`; closes connections to ended processes."""
    if event.kind is not api.EndpointListKind.DELTA:
        upstreams.keep_only(addresses.keys())
    for name, address in addresses.items():
        upstreams.set_address(name, address, models.get(name, ""))
    for name in registry.restarted_by(event):
        upstreams.close_idle(name)

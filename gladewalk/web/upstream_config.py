"""Configuration of an upstream for its core and its connection pool: request classes, servers, limits.

Each upstream has a core of its own. Each nginx location that proxies to it is a request class, once for
methods that may be retried and once, under the name with `NON_IDEMPOTENT_SUFFIX`, for those that may not.
This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import xxhash

from .. import interface as api
from ..config.platform import Address, PlatformConfig, read_address
from ..nginx.landing import Landing
from ..nginx.table import LocationRow, Site, UpstreamRow, UpstreamServerRow
from .passive_health import PassiveHealthCheck

MAX_QUEUE_MS = 1_000.0  # how long a request may wait while no server can accept it
# Deadline of a complete response; a stalled response is ended earlier by the timeouts of its location.
MAX_RESPONSE_MS = 3_600_000.0
# The priority weight of each request: with it, a location without enough capacity rejects part of its
# requests rather than all of them at once.
PRIORITY_WEIGHT = 6.0
SERVER_IDLE_TIMEOUT_MS = 5_000.0  # servers are assumed to close a connection that was idle for this long
DEFAULT_CONNECT_TIMEOUT_MS = 60_000.0  # the default of nginx's proxy_connect_timeout
MAX_RETRY_AFTER_MS = 1_000.0
ZONE = "upstream"
NON_IDEMPOTENT_SUFFIX = "!"
# The only request class of an upstream that no location proxies to; prefix of the class names of locations.
DEFAULT_CLASS = "p"


@dataclass(slots=True)
class UpstreamConfig:
    """The configuration of one upstream for its core and its connection pool.

    Attributes:
        upstream: The row of the routing table.
        platform: The core's configuration.
        health: Which servers may be sent requests.
        addresses: The address to which connections to each server are opened, by the server's name.
        class_names: The name of each location's request class for methods that may be retried, by
            `location_id`.
    """

    upstream: UpstreamRow
    platform: PlatformConfig
    health: PassiveHealthCheck
    addresses: dict[str, Address]
    class_names: dict[str, str]

    def endpoints(self, ready: Mapping[str, bool]) -> tuple[api.Server, ...]:
        """Returns endpoint list entries for the servers in `ready`; one that is not ready is draining."""
        return tuple(
            build_endpoint(server, ready[server.address])
            for server in self.upstream.servers
            if server.address in ready
        )

    def is_equivalent(self, other: UpstreamConfig) -> bool:
        """Returns whether servers, classes and limits are equal, so that a core for one fits the other."""
        return (self.upstream.servers, self.platform.settings) == (
            other.upstream.servers,
            other.platform.settings,
        )


def build_endpoint(server: UpstreamServerRow, is_ready: bool) -> api.Server:
    """Builds the endpoint list entry of a server."""
    return api.Server(
        server.address,
        api.Role.CACHE,
        ZONE,
        capacity=float(server.weight),
        state=api.ServerState.READY if is_ready else api.ServerState.DRAINING,
        address=server.address,
    )


def proxying_locations(site: Site) -> list[LocationRow]:
    """Returns all locations of a site that proxy requests, nested ones too, in the order of the file."""
    found: list[LocationRow] = []

    def collect(locations: list[LocationRow]) -> None:
        for location in locations:
            if location.upstream:
                found.append(location)
            collect(location.locations)

    for server in site.servers:
        collect(server.locations)
    return found


def location_id(location: LocationRow) -> str:
    """Returns a location's identifier, which stays the same when its site is imported again."""
    return f"{location.defined_at} {location.directive}"


def build_upstream_config(
    site: Site,
    upstream: UpstreamRow,
    *,
    director_name: str,
    seed: int,
    max_client_connections: int,
    max_upstream_connections: int,
) -> UpstreamConfig:
    """Builds the configuration of one upstream of a site.

    Args:
        site: The routing table.
        upstream: The row of the upstream.
        director_name: The name of this process on the platform.
        seed: The seed of the core's random choices.
        max_client_connections: Limit of client connections to the whole front.
        max_upstream_connections: Limit of connections to this upstream.
    """
    locations = [
        location
        for location in proxying_locations(site)
        if location.upstream == upstream.name or "$" in location.upstream
    ]
    classes: list[api.RequestClass] = []
    class_names: dict[str, str] = {}
    for number, location in enumerate(locations):
        class_names[location_id(location)] = f"{DEFAULT_CLASS}{number}"
        classes += build_request_classes(f"{DEFAULT_CLASS}{number}", location)
    if not classes:
        classes = [api.RequestClass(DEFAULT_CLASS, MAX_QUEUE_MS, MAX_RESPONSE_MS)]
    settings = api.Settings(
        classes=tuple(classes),
        zone=ZONE,
        zones=(ZONE,),
        hub_of_zone=(0,),
        capacities_listed=False,
        client_connection_limit=max_client_connections,
        max_attempts=max([len(upstream.servers), *(location.proxy.max_attempts for location in locations)]),
        may_cancel=True,
        sends_retry_after=True,
        max_retry_after_ms=MAX_RETRY_AFTER_MS,
        may_join_fills=any(location.proxy.joins_fills for location in locations),
    )
    connect_timeouts_ms = (location.proxy.connect_timeout_ms for location in locations)
    platform = PlatformConfig(
        name=director_name,
        listen=("127.0.0.1", 0),
        coordinator=("127.0.0.1", 0),
        seed=seed,
        max_descriptors=max_upstream_connections,
        connect_timeout_ms=max(connect_timeouts_ms, default=DEFAULT_CONNECT_TIMEOUT_MS),
        idle_timeout_ms=SERVER_IDLE_TIMEOUT_MS,
        settings=settings,
        roles={},
        initial_event_index=0,
        initial_events=(),
    )
    addresses = {server.address: read_address(server.address) for server in upstream.servers}
    return UpstreamConfig(upstream, platform, PassiveHealthCheck(upstream.servers), addresses, class_names)


def build_request_classes(name: str, location: LocationRow) -> list[api.RequestClass]:
    """Builds a location's two classes: for methods that may be retried, and for those that may not."""
    proxy = location.proxy
    classes = []
    for suffix in ("", NON_IDEMPOTENT_SUFFIX):
        may_retry = not suffix or "non_idempotent" in proxy.retry_on
        classes.append(
            api.RequestClass(
                name + suffix,
                min(MAX_QUEUE_MS, proxy.read_timeout_ms),
                MAX_RESPONSE_MS,
                priority_weight=PRIORITY_WEIGHT,
                idempotency=api.Idempotency.IDEMPOTENT if may_retry else api.Idempotency.NON_IDEMPOTENT,
                freshness_lifetime_ms=proxy.freshness_lifetime_ms,
                stale_grace_ms=proxy.freshness_lifetime_ms if proxy.use_stale_on else 0.0,
            )
        )
    return classes


def object_key(landing: Landing) -> int:
    """Returns an object's key: the hash of `proxy_cache_key`, or of upstream and target if it is not set."""
    rules = landing.rules
    if rules is not None and rules.cache_key is not None:
        text = rules.cache_key.render(landing.state)
    else:
        text = f"{landing.upstream}{landing.target}"
    return xxhash.xxh3_64_intdigest(text.encode("latin-1", "replace"))

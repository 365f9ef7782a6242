"""Server registry: every listed server, indexed by tier and location."""

from __future__ import annotations

from dataclasses import replace

from .. import interface as api
from ..interface import Role, ServerState
from .object_locations import ObjectId
from .records import ServerRecord
from .topology import Topology

ASSUMED_LINK_FRACTION = 0.5  # assumed ratio of a location's inbound link to the sum of its caches' links
ASSUMED_FIRST_BYTE_MS = 20.0  # assumed time to the first byte from a server of the own hub
ASSUMED_HUB_STEP_MS = 30.0  # added per step of distance on the ring of hubs


class ServerRegistry:
    """All known servers. Indexes of those listed ready keep a request's cost independent of their number."""

    def __init__(self) -> None:
        self.servers: dict[str, ServerRecord] = {}
        self.own_caches: list[ServerRecord] = []  # caches of this location
        self.sibling_caches: list[list[ServerRecord]] = []  # caches by other location, nearest hub first
        self.hub_parents: list[ServerRecord] = []
        self.remote_parents: list[ServerRecord] = []
        self.origins: list[ServerRecord] = []
        self.home_order: dict[ObjectId, list[ServerRecord]] = {}  # rendezvous orders, until a weight changes
        self.link_capacity = 0.0  # concurrent transfers of the inbound link; 0: unknown
        self._assumed_cache_capacity = 0.0

    def configure(self, settings: api.Settings, topology: Topology) -> None:
        """Apply settings, at the start or later; the known servers are kept."""
        self._settings, self.topology = settings, topology
        self._assumed_cache_capacity = 0.0
        self._rebuild_indexes()

    def get(self, name: str | None) -> ServerRecord | None:
        """The record of a server, or None if it is unknown."""
        return self.servers.get(name or "")

    def is_ready(self, name: str) -> bool:
        """Whether a server is listed ready."""
        return name in self.servers and self.servers[name].info.state is ServerState.READY

    def restarted_by(self, event: api.EndpointList) -> list[str]:
        """The names of known servers whose processes have started again by this list or change."""
        known = ((info, self.servers.get(info.name)) for info in event.servers)
        return [
            info.name
            for info, server in known
            if server is not None and info.started_ms != server.info.started_ms
        ]

    def apply(self, event: api.EndpointList) -> None:
        """Apply an endpoint list: reset restarted servers, remove those that are gone once they are idle."""
        for info in event.servers:
            server = self.servers.get(info.name)
            if server is None:
                steps = self.topology.distance(info.zone)
                first_byte_ms = ASSUMED_FIRST_BYTE_MS + ASSUMED_HUB_STEP_MS * steps
                server = self.servers[info.name] = ServerRecord(info, first_byte_ms)
            elif info.started_ms != server.info.started_ms:
                server.reset(info)
            server.info = info
        listed = {info.name for info in event.servers}
        for name, server in list(self.servers.items()):
            if event.kind is not api.EndpointListKind.DELTA and name not in listed:
                server.info = replace(server.info, state=ServerState.GONE)
            if server.info.state is ServerState.GONE and not server.attempts:
                del self.servers[name]
        self._rebuild_indexes()

    def _rebuild_indexes(self) -> None:
        ready = [server for server in self.servers.values() if server.info.state is ServerState.READY]
        parents = [server for server in ready if server.info.role is Role.PARENT]
        is_own_hub = self.topology.is_own_hub
        self.hub_parents = [server for server in parents if is_own_hub(server.info.zone)]
        self.remote_parents = [server for server in parents if not is_own_hub(server.info.zone)]
        self.origins = [server for server in ready if server.info.role is Role.ORIGIN]
        by_zone: dict[str, list[ServerRecord]] = {}
        for server in ready:
            if server.info.role is Role.CACHE:
                by_zone.setdefault(server.info.zone, []).append(server)
        self.own_caches = by_zone.pop(self._settings.zone, [])
        self.sibling_caches = sorted(
            by_zone.values(), key=lambda caches: self.topology.distance(caches[0].info.zone)
        )
        self.home_order.clear()
        self._estimate_capacities(parents)

    def _estimate_capacities(self, parents: list[ServerRecord]) -> None:
        """Estimate the inbound link's capacity from the caches' listed links, or the reverse."""
        estimate = 0.0
        if self._settings.capacities_listed:
            estimate = ASSUMED_LINK_FRACTION * sum(server.info.capacity for server in self.own_caches)
        self.link_capacity = self.topology.link_capacity or estimate
        # Estimated once: when a cache leaves later, the links of the other caches stay the same.
        is_first = not self._assumed_cache_capacity
        if self.topology.link_capacity and self.own_caches and is_first:
            total = self.link_capacity / ASSUMED_LINK_FRACTION
            self._assumed_cache_capacity = total / len(self.own_caches)
        if not self._assumed_cache_capacity:
            return
        for cache in self.own_caches:
            cache.concurrency_limit.estimate = self._assumed_cache_capacity
        for parent in parents:
            parent.concurrency_limit.estimate = self.topology.mean_link_capacity

"""Candidate selection: the caches that an object hashes to, and the sources that can fill a miss."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .. import interface as api
from ..interface import Role
from ..registry.object_locations import ObjectId
from ..registry.records import PendingRequest, ServerRecord
from ..registry.rendezvous import object_seed, weighted_score
from ..registry.state import RoutingState
from .capacity import CapacityLimits
from .health import EndpointHealth
from .retries import RetryPolicy

SIBLING_TRIAL_RATE = 0.08  # fraction of fills without a known holder that try another location's cache first
HOT_OBJECT_MS = 1_500.0  # an object that its home served within this time may get a second home
PARENT_WAIT_FRACTION = 0.25  # of the objective: how long a fill waits for a busy parent before the origin


@dataclass(slots=True)
class CandidateSelector:
    """Orders servers for a request. Sends nothing, and changes no state except its cached orders."""

    state: RoutingState
    health: EndpointHealth
    capacity: CapacityLimits
    retries: RetryPolicy

    def homes(self, pending: PendingRequest, include_ejected: bool = False) -> list[ServerRecord]:
        """The location's usable caches, in the weighted rendezvous order of the object."""
        registry, is_usable = self.state.registry, self.health.is_usable
        order = registry.home_order.get(pending.object_id)
        if order is None:
            order = self._rank(registry.own_caches, pending.object_id)
            registry.home_order[pending.object_id] = order
        usable = (server for server in order if include_ejected or is_usable(server))
        allowed = (server for server in usable if server.info.name not in pending.failed_hosts)
        return [server for server in allowed if self.retries.may_run_at(pending, server)]

    def second_home(self, pending: PendingRequest, homes: list[ServerRecord]) -> ServerRecord | None:
        """The next cache for an overloaded home's object, if the object is hot or cached there already."""
        last_seen_ms = self.state.locations.last_seen_ms(pending.object_id, homes[0].info.name)
        is_hot = self.state.now_ms - last_seen_ms <= HOT_OBJECT_MS
        candidates = homes if is_hot else self.holders(pending)
        seconds = (server for server in homes[1:2] if server in candidates)
        return next((server for server in seconds if not self.capacity.is_overloaded(server, pending)), None)

    def bypass_target(self, pending: PendingRequest) -> ServerRecord | None:
        """A parent or the origin for a request that no cache of this location can serve in time."""
        if not self.state.settings.may_bypass_caches:
            return None
        may_fill = self.health.may_reach_origin() and not self.capacity.is_link_overloaded(pending)
        if not pending.is_write and not may_fill:
            return None
        for server in (not pending.is_write and self.parents(pending)) or self.state.registry.origins:
            is_available = self.health.is_usable(server) if pending.is_write else self._may_fill_from(server)
            is_allowed = is_available and self.retries.may_run_at(pending, server)
            if is_allowed and server.info.name not in pending.failed_hosts:
                return server
        return None

    def fill_source(self, pending: PendingRequest, host: ServerRecord) -> ServerRecord | None:
        """The source for a miss at `host`: a known holder, a sibling on trial, a parent, or last the origin.

        None: the request has to wait, for a busy parent that can still respond in time or for any source.
        """
        state, failed_sources = self.state, pending.failed_sources
        if pending.is_write:
            origins = (origin for origin in state.registry.origins if self.health.is_usable(origin))
            return next((origin for origin in origins if origin.info.name not in failed_sources), None)
        is_link_full = self.capacity.is_link_overloaded(pending)
        parents = [] if is_link_full else self.parents(pending)
        parents = [parent for parent in parents if parent.info.name not in failed_sources]
        holders = [server for server in self.holders(pending) if server is not host]
        if is_link_full:  # a fill from within this location doesn't use the inbound link
            holders = [server for server in holders if server.info.zone == state.settings.zone]
        hub_holders = [parent for parent in state.registry.hub_parents if parent in holders]
        trial = [] if is_link_full else self._sibling_trial(pending)
        for source in (*hub_holders, *holders, *trial, *parents):
            if self._may_fill_from(source):
                return source
        parent_wait_ms = PARENT_WAIT_FRACTION * pending.request_class.latency_objective_ms
        may_wait_for_parent = pending.arrived_ms + parent_wait_ms > state.now_ms
        if is_link_full or (may_wait_for_parent and any(map(self.capacity.has_slow_start_budget, parents))):
            return None
        for origin in state.registry.origins:
            may_fetch = origin.info.name not in failed_sources and self.health.may_reach_origin()
            if may_fetch and self._may_fill_from(origin):
                return origin
        return None

    def parents(self, pending: PendingRequest) -> list[ServerRecord]:
        """The hub's usable parents in rendezvous order, then the others by their time to first byte."""
        registry = self.state.registry
        if pending.ranked_parents[0] is not registry.hub_parents:  # a request's attempts share one ranking
            ranked = self._rank(registry.hub_parents, pending.object_id)
            pending.ranked_parents = registry.hub_parents, ranked
        remote = sorted(registry.remote_parents, key=lambda parent: (parent.first_byte_ms, parent.info.name))
        return [parent for parent in (*pending.ranked_parents[1], *remote) if self.health.is_usable(parent)]

    def holders(self, pending: PendingRequest) -> list[ServerRecord]:
        """Usable servers known to have had the object after its last purge and their own last start."""
        state, holders = self.state, []
        since_ms = state.last_purge_ms(pending)
        for name, seen_ms in state.locations.holders_since(pending.object_id, since_ms, state.now_ms):
            server = state.registry.get(name)
            if server is None or seen_ms <= server.started_ms or name in pending.failed_sources:
                continue
            if self._may_be_source(server):
                holders.append(server)
        return holders

    def _sibling_trial(self, pending: PendingRequest) -> list[ServerRecord]:
        """For a random fraction of first fills the object's home in another location, mostly a near one."""
        state = self.state
        is_first_fill = pending.is_idempotent and not pending.failed_sources
        if not is_first_fill or state.random.random() >= SIBLING_TRIAL_RATE:
            return []
        locations = state.registry.sibling_caches
        if state.settings.sibling_sources is not api.SiblingSources.ANY or not locations:
            return []
        index = int(state.random.random() ** 2 * len(locations))
        caches = [cache for cache in locations[index] if self._may_be_source(cache)]
        return self._rank(caches, pending.object_id)[:1]

    def _may_be_source(self, server: ServerRecord) -> bool:
        """Whether the settings allow this server as the source of a fill."""
        is_usable = self.health.is_usable(server)
        if server.info.role is Role.PARENT or not is_usable:
            return is_usable
        is_allowed = self.state.settings.sibling_sources is api.SiblingSources.ANY
        if self.state.settings.sibling_sources is api.SiblingSources.LOCATION:
            is_allowed = server.info.zone == self.state.settings.zone
        return is_allowed and server.info.role is Role.CACHE and not self.state.is_warming_up(server)

    def _may_fill_from(self, server: ServerRecord) -> bool:
        has_quota = server.fills_in_flight < int(server.fill_quota)
        return self.health.is_usable(server) and has_quota and self.capacity.has_slow_start_budget(server)

    def _rank(self, servers: Iterable[ServerRecord], object_id: ObjectId) -> list[ServerRecord]:
        """Rendezvous order, weighted by listed capacity, outlier weight and slow-start fraction."""
        seed, capacity_fraction = object_seed(*object_id), self.state.capacity_fraction

        def sort_key(server: ServerRecord) -> tuple[float, str]:
            weight = server.info.capacity * server.weight * capacity_fraction(server)
            return -weighted_score(seed, server.hash_salt, weight), server.info.name

        return sorted(servers, key=sort_key)

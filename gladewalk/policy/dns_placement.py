"""DNS placement: which caches a DNS answer names, by the same homes and rules as for requests."""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as api
from ..registry.records import PendingRequest, ServerRecord
from ..registry.state import RoutingState
from .candidates import CandidateSelector
from .capacity import CapacityLimits
from .health import EndpointHealth
from .routing import PURGE_MARGIN_MS

DNS_LEASE_MS = 300_000.0  # how long a resolver is assumed to cache an answer, whatever its time to live


@dataclass(slots=True)
class DnsPlacement:
    """Decides DNS answers; counts each as a lease before it is sent, as a cached answer can't be revoked."""

    state: RoutingState
    health: EndpointHealth
    capacity: CapacityLimits
    candidates: CandidateSelector

    def on_resolve(self, question: api.ResolveRequest) -> None:
        """Answer with the object's home or the director itself; queue the request if no server is usable."""
        state, request_class = self.state, self.state.classes.get(question.class_name)
        if request_class is None:
            return state.emit(api.Reject(question.id))
        request = api.Request(question.id, question.class_name, question.key, question.time_left_ms)
        request.part = question.part
        pending = PendingRequest(request, request_class, state.now_ms)
        homes = self.candidates.homes(pending)
        upstreams = (*state.registry.hub_parents, *state.registry.remote_parents, *state.registry.origins)
        if not homes and not any(map(self.health.is_usable, upstreams)):
            state.unresolved[question.id] = question  # until a server is usable or the client disconnects
            return None
        state.unresolved.pop(question.id, None)
        is_cacheable = homes and not request_class.is_write and not self._is_purge_unsettled(question)
        servers = self._select(question, pending, homes) if is_cacheable else []
        ttl_ms = min(map(self._ttl_ms, servers), default=state.dns_lease_table().max_ttl_ms)
        return state.emit(api.Resolved(question.id, tuple(server.info.name for server in servers), ttl_ms))

    def retry_unresolved(self) -> None:
        """Answer the queued resolve requests for which a server is usable by now."""
        for question in list(self.state.unresolved.values()):
            self.on_resolve(question)

    def may_resolve_to(self, question: api.ResolveRequest, server: str) -> bool:
        """Whether an answer may still be written: not if a drain or a purge followed its decision."""
        return self.state.registry.is_ready(server) and not self._is_purge_unsettled(question)

    def _is_purge_unsettled(self, question: api.ResolveRequest) -> bool:
        """Whether a cache may still have a purged copy; only requests through a director can exclude it."""
        since_ms = self.state.now_ms - self.state.settings.purge_settle_ms - PURGE_MARGIN_MS
        return self.state.purges.has_any_since(question.key, question.group, since_ms)

    def _ttl_ms(self, server: ServerRecord) -> float:
        bound, is_warming_up = self.capacity.max_dns_lease_weight(server), self.state.is_warming_up(server)
        return self.state.dns_lease_table().ttl_ms(server.address, bound, is_warming_up, self.state.now_ms)

    def _select(
        self, question: api.ResolveRequest, pending: PendingRequest, homes: list[ServerRecord]
    ) -> list[ServerRecord]:
        """The home, and the second home if that has the object; the second home alone if the home is full."""
        second = self.candidates.second_home(pending, homes)
        has_copy = second is not None and second in self.candidates.holders(pending)
        servers = [homes[0], second] if second is not None and has_copy else [homes[0]]
        transfers = question.transfers / len(servers)
        granted = [server for server in servers if self._lease(server, question, pending, transfers)]
        if granted or second is None or has_copy:
            return granted
        return [second] if self._lease(second, question, pending, question.transfers) else []

    def _lease(
        self, server: ServerRecord, question: api.ResolveRequest, pending: PendingRequest, transfers: float
    ) -> bool:
        """Count an answer as cached; False if the server could not handle so many when it restarts.

        Resolvers keep answers past their time to live, and no answer can be revoked when a server restarts.
        """
        leases, now_ms = self.state.dns_lease_table(), self.state.now_ms
        lease = server.address, question.resolver, pending.object_id
        bound = self.capacity.max_dns_lease_weight(server)
        is_full = transfers > leases.available_weight(*lease, bound, now_ms)
        if is_full or self.capacity.is_overloaded(server, pending):
            return False
        if not self.capacity.has_slow_start_budget(server):
            return False
        self.state.withdraw_slow_start_budget(server, pending)
        leases.grant(*lease, now_ms + DNS_LEASE_MS, transfers)
        return True

"""Whether a server or the inbound link has capacity for one more transfer."""

from __future__ import annotations

from ..interface import Role
from ..limits.concurrency import is_over_capacity
from ..registry.records import PendingRequest, ServerRecord
from ..registry.state import RoutingState

DNS_LEASE_FRACTION = 0.5  # part of a restarted server's budget for DNS answers; the rest is for requests


class CapacityLimits:
    """Capacity limits derived from latency objectives, and the slow-start budgets of restarted servers."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state

    def is_overloaded(self, server: ServerRecord, pending: PendingRequest) -> bool:
        """Whether one more transfer would slow a server's link so far that this request misses its objective.

        The total load is estimated as this process's transfers times the senders of the location. An
        overloaded home's requests don't move to the next cache of the order, as that mostly lacks the object.
        """
        state = self._state
        if server.concurrency_limit.is_rejecting(state.now_ms):
            return True
        capacity, senders = state.capacities.capacity(server), state.senders_in_zone
        max_slowdown = state.estimates.max_slowdown(pending)
        is_over = is_over_capacity(len(server.attempts), capacity * server.weight, senders, max_slowdown)
        is_known = state.settings.capacities_listed or state.settings.infers_capacity
        return is_over and is_known and state.now_ms >= server.spare_capacity_until_ms

    def is_link_overloaded(self, pending: PendingRequest) -> bool:
        """Like `is_overloaded`, for the inbound link that all fills from outside this location share."""
        state, capacity = self._state, self._state.registry.link_capacity
        if capacity <= 0 or state.now_ms < state.capacities.link_spare_until_ms:
            return False
        senders, max_slowdown = state.senders_in_zone, state.estimates.max_slowdown(pending)
        return is_over_capacity(state.inbound_fills, capacity, senders, max_slowdown)

    def has_slow_start_budget(self, server: ServerRecord) -> bool:
        """Whether a server is warm, or this process's share of its budget allows one more request."""
        state = self._state
        if not state.is_warming_up(server):
            return True
        is_parent = server.info.role is Role.PARENT
        if is_parent and not state.topology.is_own_hub(server.info.zone):
            return False  # the whole budget belongs to the dispatchers of the parent's own hub
        senders = state.topology.senders_in_hub if is_parent else state.topology.senders_in_zone
        rate = state.sustainable_rate(server)
        if state.dns_leases is not None:  # clients that follow cached DNS answers use the same budget
            bound = self.max_dns_lease_weight(server)
            weight = state.dns_leases.total_weight(server.address, bound, state.now_ms)
            rate = max(0.0, rate - senders * weight / state.process_share)
        return state.allows_slow_start_work(server, rate, senders)

    def max_dns_lease_weight(self, server: ServerRecord) -> float:
        """Concurrent transfers that this process's DNS answers may cause at a freshly restarted server."""
        slow_start = self._state.slow_start[server.info.role]
        capacity = self._state.capacities.min_capacity(server) * slow_start.initial_fraction
        rate = slow_start.sustainable_rate(capacity)
        return DNS_LEASE_FRACTION * rate / self._state.senders_in_zone

"""Endpoint health: failures, backoff, unresponsive servers, and weights of slow caches."""

from __future__ import annotations

import math

from .. import interface as api
from ..interface import Role, ServerState, Status
from ..limits.backoff import backoff_ms, decrease_quota, unresponsive_timeout_ms
from ..limits.origin_breaker import OriginBreaker
from ..registry.capacity_estimates import LOAD_REPORT_TTL_MS
from ..registry.outcome_recorder import MIN_OUTAGE_MS
from ..registry.records import ServerRecord
from ..registry.state import RoutingState

MIN_OUTLIER_SLOWDOWN = 2.5  # multiple of the location's median that isn't random and lowers a cache's weight
MAX_HOME_ORDERS = 16_384  # bounds memory
UNREACHABLE = (Status.CONNECT_FAILED, Status.TIMEOUT)


class EndpointHealth:
    """Which servers can accept work, judged by their responses and by the time without a response."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self.origin_breaker = OriginBreaker(state.settings.dispatcher_count)

    def record_failure(self, server: ServerRecord, is_unreachable: bool) -> None:
        """Eject an unreachable or repeatedly failing server for a backoff that grows with each failure."""
        now_ms, caches = self._state.now_ms, self._state.registry.own_caches
        if now_ms < server.backoff_until_ms:
            return
        server.consecutive_failures += 1
        ejected = sum(now_ms < cache.backoff_until_ms for cache in caches)
        if server in caches and not is_unreachable and 2 * ejected + 2 > max(2, len(caches)):
            return  # ejecting most caches of a location costs more than the responses that some of them lose
        was_unresponsive = now_ms - server.last_response_ms > MIN_OUTAGE_MS
        if is_unreachable and was_unresponsive and server.info.role is not Role.ORIGIN:
            server.started_ms = now_ms  # a server restarts empty and cold, which the list reports too late
        if is_unreachable or server.consecutive_failures > 1:
            server.backoff_until_ms = now_ms + backoff_ms(server.consecutive_failures)

    def on_health_check(self, result: api.HealthCheckResult) -> None:
        """A health check shows whether a process runs and is reachable, but not that it serves requests."""
        state, server = self._state, self._state.registry.get(result.server)
        if server is None:
            return
        if result.status is Status.OK and result.age_ms < LOAD_REPORT_TTL_MS:
            state.capacities.record_load_report(server, result.load_report or {}, state.now_ms)
        elif result.status in UNREACHABLE and server.last_response_ms < state.now_ms - result.age_ms:
            self.record_failure(server, is_unreachable=result.status is Status.CONNECT_FAILED)

    def is_usable(self, server: ServerRecord) -> bool:
        """Listed ready and not ejected; after a backoff one trial request at a time until a response."""
        if server.info.state is not ServerState.READY or self._state.now_ms < server.backoff_until_ms:
            return False
        has_no_trial = server.last_sent_ms < server.backoff_until_ms or not server.attempts
        return server.backoff_until_ms == 0.0 or has_no_trial

    def may_reach_origin(self) -> bool:
        """Whether a fill that may reach the origin may be sent."""
        now_ms, origins = self._state.now_ms, self._state.registry.origins
        is_reachable = all(now_ms >= origin.backoff_until_ms for origin in origins)
        return self.origin_breaker.allows(now_ms) and is_reachable

    def eject_if_unresponsive(self, server: ServerRecord) -> bool:
        """Eject a server that hangs, is gone or is unreachable, judged by the time without a response."""
        now_ms = self._state.now_ms
        if not server.attempts or now_ms < server.backoff_until_ms:
            return False
        unresponsive_ms = now_ms - max(next(iter(server.attempts.values())), server.last_response_ms)
        if unresponsive_ms <= unresponsive_timeout_ms(server.response_gap_ms, len(server.attempts)):
            return False
        server.consecutive_failures += 1  # counts double: one such timeout suffices for an ejection
        server.fill_quota = decrease_quota(server.fill_quota)
        self.record_failure(server, is_unreachable=False)
        return True

    def adjust_weights(self) -> None:
        """Lower the weight of caches far slower than their neighbours, before requests fail there."""
        state, registry = self._state, self._state.registry
        is_changing = any(cache.weight < 1.0 or state.is_warming_up(cache) for cache in registry.own_caches)
        slowdowns = sorted(cache.log_slowdown for cache in registry.own_caches)
        for cache in registry.own_caches:
            slowdown = math.exp(cache.log_slowdown - slowdowns[(len(slowdowns) - 1) // 2])
            cache.weight = 1.0 if slowdown < MIN_OUTLIER_SLOWDOWN else 1.0 / slowdown
        is_changing = is_changing or any(cache.weight < 1.0 for cache in registry.own_caches)
        if is_changing or len(registry.home_order) > MAX_HOME_ORDERS:
            registry.home_order.clear()

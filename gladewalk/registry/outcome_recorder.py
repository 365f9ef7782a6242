"""Learns from outcomes: health of the hops, fill quotas, object locations. No decisions are made here."""

from __future__ import annotations

from typing import Protocol

from .. import interface as api
from ..interface import OutcomeDetail, Role, Status
from ..limits.backoff import decrease_quota, increase_quota
from ..limits.origin_breaker import OriginBreaker
from .estimates import EWMA_ALPHA
from .records import Attempt, PendingRequest, ServerRecord
from .state import RoutingState

# An unreachable server is assumed to have restarted if it has sent no response for this long, which is the
# usual gap between responses.
MIN_OUTAGE_MS = 400.0
MIN_REMAINING_MS = 60.0  # a request with less time left is ended at once; longer than one sweep interval
ORIGIN_DETAILS = (OutcomeDetail.ORIGIN_FAILED, OutcomeDetail.FILLED_BY_ORIGIN)


class HealthRecorder(Protocol):
    """Records failures of servers."""

    origin_breaker: OriginBreaker

    def record_failure(self, server: ServerRecord, is_unreachable: bool) -> None:
        """Record that the server has failed or could not be reached."""


class OutcomeRecorder:
    """Updates health, capacity and object locations of the servers that an ended attempt went through."""

    def __init__(self, state: RoutingState, health: HealthRecorder) -> None:
        self._state = state
        self._health = health

    def record(self, outcome: api.Outcome, attempt: Attempt, pending: PendingRequest) -> None:
        """Learn from the outcome of an attempt that is no longer counted as in flight."""
        registry = self._state.registry
        host, source = registry.get(attempt.host), registry.get(attempt.source)
        if outcome.detail in ORIGIN_DETAILS or host in registry.origins or source in registry.origins:
            self._record_origin(outcome, pending)
        if host is not None:
            self._record_host(outcome, host)
        if outcome.status is Status.OK and host is not None:
            self._record_success(outcome, pending, host, source)
        elif source is not None and source is not host and outcome.status is not Status.OK:
            self._record_source_failure(outcome, pending, source)

    def _record_origin(self, outcome: api.Outcome, pending: PendingRequest) -> None:
        state = self._state
        waited_ms = state.now_ms - pending.arrived_ms
        objective_ms = state.estimates.objective_ms(pending)
        self._health.origin_breaker.record_outcome(
            state.now_ms, outcome.status, waited_ms, objective_ms, state.process_count
        )

    def _record_host(self, outcome: api.Outcome, host: ServerRecord) -> None:
        status = outcome.status
        is_own_rejection = status is Status.REJECTED and outcome.detail is OutcomeDetail.NONE
        if is_own_rejection and self._state.settings.infers_capacity:
            host.concurrency_limit.record_rejection(self._state.now_ms)
        self._state.capacities.record_load_report(host, outcome.load_report or {}, self._state.now_ms)
        if status in (Status.OK, Status.MISS, Status.REJECTED):
            host.record_response(self._state.now_ms)
            return
        # A reset soon after another response is a failure of the connection only.
        was_unresponsive = self._state.now_ms - host.last_response_ms > MIN_OUTAGE_MS
        is_failure = status in (Status.CONNECT_FAILED, Status.ERROR)
        if is_failure or (status is Status.RESET and was_unresponsive):
            self._health.record_failure(host, is_unreachable=status is Status.CONNECT_FAILED)

    def _record_success(
        self, outcome: api.Outcome, pending: PendingRequest, host: ServerRecord, source: ServerRecord | None
    ) -> None:
        state = self._state
        if source is None and outcome.detail in (OutcomeDetail.HIT, OutcomeDetail.NONE):
            state.capacities.record_hit(outcome.elapsed_ms, pending, host)
        if host.info.role is not Role.ORIGIN and not pending.request_class.is_write:
            state.locations.record(pending.object_id, host.info.name, state.now_ms)
        if source is None:
            return
        if outcome.source_wait_ms is not None:
            source.first_byte_ms += EWMA_ALPHA * (outcome.source_wait_ms - source.first_byte_ms)
        if outcome.detail is OutcomeDetail.FILLED_BY_ORIGIN:
            for origin in state.registry.origins:
                origin.record_response(self._state.now_ms)
        if outcome.detail is not OutcomeDetail.HIT:
            self._record_fill(outcome, pending, source)

    def _record_fill(self, outcome: api.Outcome, pending: PendingRequest, source: ServerRecord) -> None:
        state = self._state
        source.record_response(self._state.now_ms)
        is_in_time = state.now_ms - pending.arrived_ms <= state.estimates.objective_ms(pending)
        is_quota_in_use = source.fills_in_flight + 1 >= source.fill_quota / 2.0
        if is_in_time and is_quota_in_use:
            source.fill_quota = increase_quota(source.fill_quota)
        if outcome.detail is OutcomeDetail.FILLED and source.info.role is not Role.ORIGIN:
            state.locations.record(pending.object_id, source.info.name, state.now_ms)

    def _record_source_failure(
        self, outcome: api.Outcome, pending: PendingRequest, source: ServerRecord
    ) -> None:
        status, detail = outcome.status, outcome.detail
        if status is Status.MISS or detail in api.SOURCE_RESPONSE_DETAILS:
            source.record_response(self._state.now_ms)
        if detail is OutcomeDetail.SOURCE_LACKS or status is Status.MISS:
            self._state.locations.remove(pending.object_id, source.info.name)
            return
        is_timeout, is_rejection = status is Status.TIMEOUT, detail is OutcomeDetail.SOURCE_REJECTED
        if not is_timeout and not is_rejection and detail is not OutcomeDetail.SOURCE_FAILED:
            return
        source.fill_quota = decrease_quota(source.fill_quota)
        # A fill that the sojourn limit ended is no failure of the source.
        is_limited = is_timeout and self._state.now_ms < pending.deadline_ms - MIN_REMAINING_MS
        if not is_limited and not is_rejection:
            # A host that rejects the fill with SOURCE_FAILED could not connect to the source.
            self._health.record_failure(source, is_unreachable=status is Status.REJECTED)

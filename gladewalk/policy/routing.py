"""The stages of a request in their order: admission, attempts, outcomes, the final answer."""

from __future__ import annotations

import math

from .. import interface as api
from ..interface import Role, Status
from ..limits.admission_price import AdmissionPrice
from ..limits.sojourn import SojournLimit
from ..registry.outcome_recorder import MIN_REMAINING_MS, OutcomeRecorder
from ..registry.records import Attempt, PendingRequest, ServerRecord
from ..registry.state import RoutingState
from .candidates import CandidateSelector
from .capacity import CapacityLimits
from .health import EndpointHealth
from .retries import NextStep, RetryPolicy

RETRY_AFTER_MS = 500.0  # sent to a rejected client, unless clients only respect a shorter delay
MIN_OBJECT_AGE_MS = 300.0  # under an age limit below this a lookup always misses: no copy is so young
MIN_ATTEMPT_MS = 1.0
PURGE_MARGIN_MS = 1_000.0  # how much longer purges are applied than they take to settle
UNCACHED_RANK, CACHED_RANK = 0, 1


class RequestRouter:
    """Routes pending requests; every accepted request gets exactly one final answer."""

    def __init__(
        self, state: RoutingState, health: EndpointHealth, capacity: CapacityLimits, retries: RetryPolicy
    ) -> None:
        self.candidates = CandidateSelector(state, health, capacity, retries)
        self._state = state
        self._health = health
        self._capacity = capacity
        self._retries = retries
        self._outcomes = OutcomeRecorder(state, health)
        self._admission = AdmissionPrice()
        self._sojourn = SojournLimit()

    # Admission.

    def on_request(self, request: api.Request) -> None:
        """Admit a request and send its first attempt, or reject it."""
        state, request_class = self._state, self._state.classes.get(request.class_name)
        if request.id in state.pending:
            return
        if request_class is None:
            state.emit(api.Reject(request.id))  # the request was never sent anywhere: a retry is harmless
            return
        state.estimates.record_request(request, request_class)
        self._retries.budget.deposit(state.process_share)
        pending = state.pending[request.id] = PendingRequest(request, request_class, state.now_ms)
        state.recall_executions(pending)
        # While the origin fails no fill completes in time, but a stale copy can be served.
        pending.accepts_stale = request_class.stale_grace_ms > 0 and not self._health.may_reach_origin()
        transfer_ms = state.estimates.transfer_ms(pending)
        if self._admission.should_shed(request_class.priority_weight, transfer_ms):
            self._reject_or_fail(pending)
        else:
            self._route(pending)

    # Attempts.

    def _route(self, pending: PendingRequest) -> None:
        """Check all conditions again and send the next attempt, or queue, reject or fail the request."""
        state = self._state
        is_exhausted = pending.attempts_sent >= state.settings.max_attempts
        is_expired = pending.deadline_ms - state.now_ms < MIN_ATTEMPT_MS
        if is_exhausted or is_expired or not self._retries.may_send(pending):
            return self._reject_or_fail(pending)
        max_age_ms = self._max_age_ms(pending)
        homes = self.candidates.homes(pending)
        homes = [home for home in homes if self._capacity.has_slow_start_budget(home)]
        if not homes:
            if self._bypass_caches(pending, max_age_ms):
                return None
            can_wait = self.candidates.homes(pending, include_ejected=True)
            return self._queue(pending) if can_wait else self._reject_or_fail(pending)
        host = homes[0]
        if self._capacity.is_overloaded(host, pending):  # a transfer would miss its objective and slow others
            second = self.candidates.second_home(pending, homes)
            if second is None:
                return None if self._bypass_caches(pending, max_age_ms) else self._reject_or_fail(pending)
            host = second
        is_known_miss = host.info.name in pending.missed_at or state.is_warming_up(host)
        is_known_miss = is_known_miss or 0 < max_age_ms < MIN_OBJECT_AGE_MS
        if not pending.is_write and not is_known_miss:
            return self._send(pending, host, None, max_age_ms)
        source = self.candidates.fill_source(pending, host)
        return self._queue(pending) if source is None else self._send(pending, host, source, max_age_ms)

    def _bypass_caches(self, pending: PendingRequest, max_age_ms: float) -> bool:
        """Send a request directly to a parent or the origin; False if none can accept it."""
        target = self.candidates.bypass_target(pending)
        if target is None:
            return False
        self._send(pending, target, None if pending.is_write else target, max_age_ms)
        return True

    def _max_age_ms(self, pending: PendingRequest) -> float:
        """Maximum age of an acceptable copy, which excludes copies from before a purge; 0: any fresh one."""
        state, request_class = self._state, pending.request_class
        purge_age_ms = state.now_ms - state.last_purge_ms(pending)
        limit_ms = request_class.freshness_lifetime_ms
        limit_ms += request_class.stale_grace_ms if pending.accepts_stale else 0.0
        if purge_age_ms > state.settings.purge_settle_ms + PURGE_MARGIN_MS:
            return limit_ms if pending.accepts_stale else 0.0
        bound_ms = max(1.0, purge_age_ms - 1.0)
        return min(bound_ms, limit_ms) if limit_ms else bound_ms

    def _send(
        self, pending: PendingRequest, host: ServerRecord, source: ServerRecord | None, max_age_ms: float
    ) -> None:
        """Send an attempt: without a source a lookup, else a fetch that fills a miss from the source."""
        state = self._state
        state.start_attempt(pending, host, source)
        is_first_fill = pending.is_idempotent and not pending.failed_sources
        join_fill = state.settings.may_join_fills and is_first_fill
        if source is None and not join_fill and not max_age_ms:
            return state.emit(api.Lookup(pending.request.id, host.info.name))
        named_source = (source or host).info
        if host.info.role is Role.PARENT and state.registry.origins:
            named_source = state.registry.origins[0].info  # a parent named as its own source never fills
        is_fill = source is not None and not pending.is_write
        is_parent_without_origin = named_source.role is Role.PARENT and not self._health.may_reach_origin()
        cached_only = is_fill and (named_source.role is Role.CACHE or is_parent_without_origin)
        if is_fill and not cached_only:
            self._health.origin_breaker.record_sent(state.now_ms, state.process_count)
        fetch = api.Fetch(pending.request.id, host.info.name, named_source.name, max_age_ms)
        fetch.join_fill, fetch.cached_only = join_fill, cached_only
        fetch.cache_rank = UNCACHED_RANK if pending.is_write else CACHED_RANK
        if is_fill:
            fetch.timeout_ms = self._sojourn.timeout_ms(
                pending, state.estimates.objective_ms(pending), state.now_ms
            )
        state.emit(fetch)

    # Waiting for a source.

    def _queue(self, pending: PendingRequest) -> None:
        """Queue a request until there is a source, or end it if too little time is left."""
        if pending.deadline_ms - self._state.now_ms < MIN_REMAINING_MS:
            return self._reject_or_fail(pending)  # its deadline could pass between two sweeps
        return self._state.queue.add(pending)

    def drain_queue(self) -> None:
        """Route queued requests in their order; those that still have no source don't block the others."""
        self._state.queue.drain(self._route)

    def expire_queue(self) -> None:
        """Let queued requests that can't be filled in time accept stale copies, or reject or fail them."""
        for pending in self._state.queue.waiting():
            request_class = pending.request_class
            objective_end_ms = pending.arrived_ms + request_class.latency_objective_ms
            latest_ms = min(objective_end_ms, pending.deadline_ms - MIN_REMAINING_MS)
            if not pending.is_queued or self._state.now_ms <= latest_ms:
                continue
            if not request_class.stale_grace_ms or pending.accepts_stale:
                self._reject_or_fail(pending)
            else:  # the origin is slow or down: a stale copy within its grace is better than a rejection
                pending.accepts_stale, pending.missed_at = True, []
                self._route(pending)

    # Outcomes.

    def on_outcome(self, outcome: api.Outcome) -> bool:
        """Learn from an ended attempt and continue its request; True if queued requests may be routed now."""
        state = self._state
        if (ended := state.end_attempt(outcome)) is None:
            return False
        attempt, pending = ended
        has_ejected = any(cache.backoff_until_ms for cache in state.registry.own_caches)
        self._outcomes.record(outcome, attempt, pending)
        state.executions.record_outcome(outcome.status, attempt, pending)
        if attempt.is_fill and outcome.status in (Status.OK, Status.TIMEOUT):
            missed_objective = state.now_ms - pending.arrived_ms > state.estimates.objective_ms(pending)
            self._sojourn.record(missed_objective or outcome.status is Status.TIMEOUT)
        if outcome.id not in state.pending:
            return False
        self._continue(outcome, attempt, pending)
        return attempt.source is not None or has_ejected

    def _continue(self, outcome: api.Outcome, attempt: Attempt, pending: PendingRequest) -> None:
        """Close an answered request, reject or fail one without time left, retry any other."""
        is_timeout = outcome.status is Status.TIMEOUT
        if outcome.is_answered:
            self.close(outcome.id)
        elif is_timeout and self._state.now_ms >= pending.deadline_ms - MIN_REMAINING_MS:
            self._state.emit(api.Fail(outcome.id))
            self.close(outcome.id)
        elif is_timeout and attempt.is_fill:
            self._reject_or_fail(pending)  # ended by the sojourn limit: a retry would start even later
        elif outcome.status is Status.MISS or not pending.in_flight:
            step = self._retries.next_step(outcome, attempt, pending)
            if step is NextStep.ROUTE:
                self._route(pending)
            elif step is NextStep.QUEUE:
                self._queue(pending)
            else:
                self._reject_or_fail(pending)

    def hedge(self, server: ServerRecord) -> None:
        """Hedge the requests at an unresponsive server: send another attempt of each to other servers."""
        state = self._state
        can_hedge = state.settings.hedging or state.settings.may_cancel
        for key in list(server.attempts) if can_hedge else ():
            attempt, pending = state.attempts[key]
            if not self._retries.may_hedge(pending):
                continue
            pending.rule_out_unresponsive(server.info.name, attempt)
            if state.settings.hedging:
                self._route(pending)
            else:  # one attempt at a time: when the cancelled one has ended, the next one is sent
                state.emit(api.Cancel(*key))

    def on_first_byte(self, event: api.FirstByte) -> None:
        """A response is being forwarded to the client: no other attempt can serve this request any more."""
        pending = self._state.pending.get(event.id)
        if pending is None:
            return
        pending.has_response_begun = True
        for attempt in pending.in_flight if self._state.settings.may_cancel else ():
            if attempt != event.attempt:
                self._state.emit(api.Cancel(event.id, attempt))

    def may_write(self, request_id: int, attempt_number: int) -> bool:
        """Whether an attempt may still be written: not after a drain, a purge or another response."""
        state = self._state
        attempt, pending = state.attempts[request_id, attempt_number]
        is_ready = all(state.registry.is_ready(name) for name in (attempt.host, attempt.source) if name)
        is_current = state.last_purge_ms(pending) == attempt.purged_ms
        is_wanted = is_current and not pending.has_response_begun
        return is_ready and is_wanted and self._retries.is_harmless(pending)

    # The final answer.

    def _reject_or_fail(self, pending: PendingRequest) -> None:
        """Send the final answer: a rejection if the client may safely retry, else a failure."""
        if pending.in_flight:
            return  # that attempt may still succeed
        state, settings = self._state, self._state.settings
        retry_after_ms = (
            min(RETRY_AFTER_MS, settings.max_retry_after_ms) if settings.sends_retry_after else 0.0
        )
        if self._retries.is_client_retry_harmless(pending, retry_after_ms):
            state.emit(api.Reject(pending.request.id, retry_after_ms))
        else:
            state.emit(api.Fail(pending.request.id))
        self.close(pending.request.id)

    def close(self, request_id: int) -> None:
        """Forget a request and cancel its attempts, unless the response of one is being forwarded."""
        state = self._state
        pending = state.pending.pop(request_id, None)
        if pending is not None and state.settings.may_cancel and not pending.has_response_begun:
            for attempt in pending.in_flight:
                state.emit(api.Cancel(request_id, attempt))

    def update_admission(self) -> None:
        """Adjust the admission price to the use of this process's client connections, once per sweep."""
        limit = (self._state.settings.client_connection_limit or math.inf) / self._state.process_count
        self._admission.update(len(self._state.pending) / limit)

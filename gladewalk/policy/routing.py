"""The path of a request, in the order in which it goes: admission, attempts, outcomes, the final answer."""

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

RETRY_AFTER_MS = 500.0  # advised to a rejected client, cut to what clients heed
MIN_OBJECT_AGE_MS = 300.0  # an age bound under this makes a lookup pointless: no copy is so young
MIN_ATTEMPT_MS = 1.0
PURGE_MARGIN_MS = 1_000.0  # purges are heeded this much longer than they take to settle
UNCACHED_RANK, CACHED_RANK = 0, 1


class RequestRouter:
    """Routes pending requests; every request it takes gets exactly one final answer."""

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
            state.emit(api.Reject(request.id))  # never sent anywhere, so that a retry is harmless
            return
        state.estimates.record_request(request, request_class)
        self._retries.budget.deposit()
        pending = state.pending[request.id] = PendingRequest(request, request_class, state.now_ms)
        state.executions.start(pending, state.now_ms)
        # While the origin fails no fill comes in time, but a stale copy does.
        pending.accepts_stale = request_class.stale_grace_ms > 0 and not self._health.may_reach_origin()
        transfer_ms = state.estimates.transfer_ms(pending)
        if self._admission.should_shed(request_class.priority_weight, transfer_ms):
            self._reject_or_fail(pending)
        else:
            self._route(pending)

    # Attempts.

    def _route(self, pending: PendingRequest) -> None:
        """Send the next attempt, all conditions checked anew; queue or end the request if there is none."""
        state = self._state
        is_exhausted = pending.attempts_sent >= state.settings.max_attempts
        is_late = pending.deadline_ms - state.now_ms < MIN_ATTEMPT_MS
        if is_exhausted or is_late or not self._retries.may_send(pending):
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
        if self._capacity.is_overloaded(host, pending):  # an answer would come late and make others late
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
        """Send a request straight to a parent or the origin; False if there is none to take it."""
        target = self.candidates.bypass_target(pending)
        if target is None:
            return False
        self._send(pending, target, None if pending.is_write else target, max_age_ms)
        return True

    def _max_age_ms(self, pending: PendingRequest) -> float:
        """The oldest copy that will do, none from before a known purge; 0: any fresh one."""
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
        """Send an attempt: a lookup without a source, else a fetch that fills a miss from it."""
        state = self._state
        state.start_attempt(pending, host, source)
        is_first_fill = pending.is_idempotent and not pending.failed_sources
        join_fill = state.settings.may_join_fills and is_first_fill
        if source is None and not join_fill and not max_age_ms:
            return state.emit(api.Lookup(pending.request.id, host.info.name))
        named = (source or host).info
        if host.info.role is Role.PARENT and state.registry.origins:
            named = state.registry.origins[0].info  # named itself it would give only what it holds
        is_fill = source is not None and not pending.is_write
        is_parent_without_origin = named.role is Role.PARENT and not self._health.may_reach_origin()
        cached_only = is_fill and (named.role is Role.CACHE or is_parent_without_origin)
        if is_fill and not cached_only:
            self._health.origin_breaker.record_sent(state.now_ms)
        fetch = api.Fetch(pending.request.id, host.info.name, named.name, max_age_ms)
        fetch.join_fill, fetch.cached_only = join_fill, cached_only
        fetch.cache_rank = UNCACHED_RANK if pending.is_write else CACHED_RANK
        if is_fill:
            fetch.timeout_ms = self._sojourn.timeout_ms(
                pending, state.estimates.objective_ms(pending), state.now_ms
            )
        state.emit(fetch)

    # Waiting for a source.

    def _queue(self, pending: PendingRequest) -> None:
        """Let a request wait for a source, as long as an answer in time is in reach."""
        if pending.deadline_ms - self._state.now_ms < MIN_REMAINING_MS:
            return self._reject_or_fail(pending)  # a short deadline could end between two sweeps
        return self._state.queue.add(pending)

    def drain_queue(self) -> None:
        """Route queued requests, first come first served, none held up by one before it."""
        self._state.queue.drain(self._route)

    def expire_queue(self) -> None:
        """End queued requests that can't be answered in time, or let them have a stale copy."""
        for pending in self._state.queue.waiting():
            request_class = pending.request_class
            objective_end_ms = pending.arrived_ms + request_class.latency_objective_ms
            latest_ms = min(objective_end_ms, pending.deadline_ms - MIN_REMAINING_MS)
            if not pending.is_queued or self._state.now_ms <= latest_ms:
                continue
            if not request_class.stale_grace_ms or pending.accepts_stale:
                self._reject_or_fail(pending)
            else:  # no fill in time, the origin is slow or stopped: a copy in its grace is worth something
                pending.accepts_stale, pending.missed_at = True, []
                self._route(pending)

    # Outcomes.

    def on_outcome(self, outcome: api.Outcome) -> bool:
        """Learn from an ended attempt and go on with its request; True if queued requests may go now."""
        state = self._state
        if (ended := state.end_attempt(outcome)) is None:
            return False
        attempt, pending = ended
        has_ejected = any(cache.backoff_until_ms for cache in state.registry.own_caches)
        self._outcomes.record(outcome, attempt, pending)
        state.executions.record_outcome(outcome.status, attempt, pending)
        if attempt.is_fill and outcome.status in (Status.OK, Status.TIMEOUT):
            is_late = state.now_ms - pending.arrived_ms > state.estimates.objective_ms(pending)
            self._sojourn.record(is_late or outcome.status is Status.TIMEOUT)
        if outcome.id not in state.pending:
            return False
        self._continue(outcome, attempt, pending)
        return attempt.source is not None or has_ejected

    def _continue(self, outcome: api.Outcome, attempt: Attempt, pending: PendingRequest) -> None:
        """Close an answered request, fail or give up one that is out of time, retry any other."""
        is_timeout = outcome.status is Status.TIMEOUT
        if outcome.is_answered:
            self.close(outcome.id)
        elif is_timeout and self._state.now_ms >= pending.deadline_ms - MIN_REMAINING_MS:
            self._state.emit(api.Fail(outcome.id))
            self.close(outcome.id)
        elif is_timeout and attempt.is_fill:
            self._reject_or_fail(pending)  # cut for its age: another source would find it older still
        elif outcome.status is Status.MISS or not pending.in_flight:
            step = self._retries.next_step(outcome, attempt, pending)
            if step is NextStep.ROUTE:
                self._route(pending)
            elif step is NextStep.QUEUE:
                self._queue(pending)
            else:
                self._reject_or_fail(pending)

    def hedge(self, server: ServerRecord) -> None:
        """Send hedged requests, elsewhere, for what waits for a silent server."""
        state = self._state
        can_hedge = state.settings.hedging or state.settings.may_cancel
        for key in list(server.attempts) if can_hedge else ():
            attempt, pending = state.attempts[key]
            if not self._retries.may_hedge(pending):
                continue
            pending.rule_out_unresponsive(server.info.name, attempt)
            if state.settings.hedging:
                self._route(pending)
            else:  # one attempt at a time: the end of the first one brings the next
                state.emit(api.Cancel(*key))

    def on_first_byte(self, event: api.FirstByte) -> None:
        """The answer is on its way to the client: no other attempt can serve this request now."""
        pending = self._state.pending.get(event.id)
        if pending is None:
            return
        pending.has_response_begun = True
        for attempt in pending.in_flight if self._state.settings.may_cancel else ():
            if attempt != event.attempt:
                self._state.emit(api.Cancel(event.id, attempt))

    def may_write(self, request_id: int, attempt_number: int) -> bool:
        """Whether an attempt may still be written: not after a drain, a purge or another answer."""
        state = self._state
        attempt, pending = state.attempts[request_id, attempt_number]
        is_ready = all(state.registry.is_ready(name) for name in (attempt.host, attempt.source) if name)
        is_current = state.last_purge_ms(pending) == attempt.purged_ms
        is_wanted = is_current and not pending.has_response_begun
        return is_ready and is_wanted and self._retries.is_harmless(pending)

    # The final answer.

    def _reject_or_fail(self, pending: PendingRequest) -> None:
        """Give the final answer: a rejection where the client may retry, else a failure."""
        if pending.in_flight:
            return  # it may still be answered
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
        """Forget a request; its attempts are cancelled, unless one of them is being passed on."""
        state = self._state
        pending = state.pending.pop(request_id, None)
        if pending is not None and state.settings.may_cancel and not pending.has_response_begun:
            for attempt in pending.in_flight:
                state.emit(api.Cancel(request_id, attempt))

    def update_admission(self) -> None:
        """Move the admission price by the client connections in use; called once a sweep."""
        limit = self._state.settings.client_connection_limit or math.inf
        self._admission.update(len(self._state.pending) / limit)

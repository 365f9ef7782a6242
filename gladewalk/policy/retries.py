"""Retries: when and where one more attempt is harmless, what a failure rules out, and the retry budget."""

from __future__ import annotations

from enum import Enum, auto

from .. import interface as api
from ..interface import DeduplicationScope, Idempotency, OutcomeDetail, Status
from ..limits.retry_budget import RetryBudget
from ..registry.records import Attempt, PendingRequest, ServerRecord
from ..registry.state import RoutingState

SOURCE_FAILURES = (OutcomeDetail.SOURCE_REJECTED, OutcomeDetail.SOURCE_FAILED, OutcomeDetail.ORIGIN_FAILED)


class NextStep(Enum):
    """What follows for a request whose attempt has ended without an answer."""

    ROUTE = auto()
    QUEUE = auto()
    REJECT_OR_FAIL = auto()


class RetryPolicy:
    """Decides on retries and hedges; each one that does not follow a miss is paid from the budget."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self.budget = RetryBudget()

    def may_send(self, pending: PendingRequest) -> bool:
        """Whether a further attempt may be sent at all."""
        if pending.has_response_begun:
            return False
        if pending.is_idempotent:
            return not pending.in_flight or self._state.settings.hedging
        return not pending.in_flight and self.is_harmless(pending)

    def is_harmless(self, pending: PendingRequest, after_ms: float = 0.0) -> bool:
        """Whether a send, that much later, to where the request may have run can have no second effect."""
        execution, request_class = pending.first_execution, pending.request_class
        if pending.is_idempotent or execution is None:
            return True
        age_ms = self._state.now_ms + after_ms - execution.sent_ms
        is_keyed = request_class.idempotency is Idempotency.KEYED
        return is_keyed and age_ms < request_class.deduplication_window_ms

    def is_client_retry_harmless(self, pending: PendingRequest, after_ms: float) -> bool:
        """Whether the client may send the request again after that time, to wherever it is routed then."""
        is_any_cache = pending.request_class.deduplication_scope is DeduplicationScope.ALL
        has_not_run = pending.is_idempotent or pending.first_execution is None
        return (is_any_cache or has_not_run) and self.is_harmless(pending, after_ms)

    def may_run_at(self, pending: PendingRequest, server: ServerRecord) -> bool:
        """Whether a server drops the repeat of a keyed request that may have run."""
        execution, request_class = pending.first_execution, pending.request_class
        scope = request_class.deduplication_scope
        is_keyed = request_class.idempotency is Idempotency.KEYED
        if not is_keyed or execution is None or scope is DeduplicationScope.ALL:
            return True
        is_same_cell = scope is DeduplicationScope.ZONE or server.info.cell == execution.place.cell
        return server.info.zone == execution.place.zone and is_same_cell

    def next_step(self, outcome: api.Outcome, attempt: Attempt, pending: PendingRequest) -> NextStep:
        """Rule out the hop that failed for this request, and decide how it goes on."""
        status, detail = outcome.status, outcome.detail
        if pending.is_write and detail is OutcomeDetail.SOURCE_REJECTED and self.budget.withdraw():
            return NextStep.QUEUE  # the origin was full just then: once more, as capacity frees up
        if attempt.source is None and status is Status.MISS:
            pending.missed_at.append(attempt.host)
            return NextStep.ROUTE
        if attempt.source is not None and (status is Status.MISS or detail in SOURCE_FAILURES):
            pending.rule_out_source(attempt.source, attempt.host)
        elif status in (Status.RESET, Status.NOT_SENT) and attempt.host not in pending.lost_at:
            pending.lost_at.append(attempt.host)  # lost on its way: the home still holds the object
        elif status is not Status.CANCELLED:  # a hedge has ruled out already what was silent
            pending.failed_hosts.append(attempt.host)
        needs_no_token = status in (Status.MISS, Status.CANCELLED)
        return NextStep.ROUTE if needs_no_token or self.budget.withdraw() else NextStep.REJECT_OR_FAIL

    def may_hedge(self, pending: PendingRequest) -> bool:
        """Whether a request with an attempt at a silent server may have another one; pays for it."""
        is_open = pending.request.id in self._state.pending and not pending.has_response_begun
        may_repeat = pending.is_idempotent and len(pending.in_flight) <= 1
        return is_open and may_repeat and self.budget.withdraw()

"""Retries: when and where another attempt is harmless, what a failure rules out, and the retry budget."""

from __future__ import annotations

from enum import Enum, auto

from .. import interface as api
from ..interface import DeduplicationScope, Idempotency, OutcomeDetail, Status
from ..limits.retry_budget import RetryBudget
from ..registry.records import Attempt, PendingRequest, ServerRecord
from ..registry.state import RoutingState

SOURCE_FAILURES = (OutcomeDetail.SOURCE_REJECTED, OutcomeDetail.SOURCE_FAILED, OutcomeDetail.ORIGIN_FAILED)


class NextStep(Enum):
    """What to do with a request whose attempt has ended without a final answer."""

    ROUTE = auto()
    QUEUE = auto()
    REJECT_OR_FAIL = auto()


class RetryPolicy:
    """Decides on retries and hedges; except after misses and cancels, each takes a token from the budget."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self.budget = RetryBudget()

    def may_send(self, pending: PendingRequest) -> bool:
        """Whether another attempt of a request may be sent to any server, and its key or id be remembered."""
        if pending.has_response_begun:
            return False
        if pending.is_idempotent:
            return not pending.in_flight or self._state.settings.hedging
        return not pending.in_flight and self._state.may_record(pending) and self.is_harmless(pending)

    def is_harmless(self, pending: PendingRequest, after_ms: float = 0.0) -> bool:
        """Whether sending the request again in `after_ms`, to where it may have run, has no second effect."""
        execution, request_class = pending.first_execution, pending.request_class
        if pending.is_idempotent or execution is None:
            return True
        age_ms = self._state.now_ms + after_ms - execution.sent_ms
        is_keyed = request_class.idempotency is Idempotency.KEYED
        return is_keyed and age_ms < request_class.deduplication_window_ms

    def is_client_retry_harmless(self, pending: PendingRequest, after_ms: float) -> bool:
        """Whether the client may send the request again in `after_ms`, wherever it is routed to then."""
        is_any_cache = pending.request_class.deduplication_scope is DeduplicationScope.ALL
        has_not_run = pending.is_idempotent or pending.first_execution is None
        return (is_any_cache or has_not_run) and self.is_harmless(pending, after_ms)

    def may_run_at(self, pending: PendingRequest, server: ServerRecord) -> bool:
        """Whether a request may run at a server; if keyed and sent before, only where repeats are dropped."""
        execution, request_class = pending.first_execution, pending.request_class
        scope = request_class.deduplication_scope
        is_keyed = request_class.idempotency is Idempotency.KEYED
        if not is_keyed or execution is None or scope is DeduplicationScope.ALL:
            return True
        is_same_cell = scope is DeduplicationScope.ZONE or server.info.cell == execution.place.cell
        return server.info.zone == execution.place.zone and is_same_cell

    def next_step(self, outcome: api.Outcome, attempt: Attempt, pending: PendingRequest) -> NextStep:
        """Exclude the hop that failed from this request's next attempts, and decide how to continue."""
        status, detail = outcome.status, outcome.detail
        if pending.is_write and detail is OutcomeDetail.SOURCE_REJECTED and self.budget.withdraw():
            return NextStep.QUEUE  # the origin was full: send the write again once capacity is free
        if attempt.source is None and status is Status.MISS:
            pending.missed_at.append(attempt.host)
            return NextStep.ROUTE
        if attempt.source is not None and (status is Status.MISS or detail in SOURCE_FAILURES):
            pending.rule_out_source(attempt.source, attempt.host)
        elif status in (Status.RESET, Status.NOT_SENT) and attempt.host not in pending.lost_at:
            pending.lost_at.append(attempt.host)  # only the connection failed: the home still has its copy
        elif status is not Status.CANCELLED:  # before a cancel, `hedge` has excluded the unresponsive server
            pending.failed_hosts.append(attempt.host)
        needs_no_token = status in (Status.MISS, Status.CANCELLED)
        return NextStep.ROUTE if needs_no_token or self.budget.withdraw() else NextStep.REJECT_OR_FAIL

    def may_hedge(self, pending: PendingRequest) -> bool:
        """Whether to hedge a request at an unresponsive server; takes a token from the retry budget if so."""
        is_open = pending.request.id in self._state.pending and not pending.has_response_begun
        may_repeat = pending.is_idempotent and len(pending.in_flight) <= 1
        return is_open and may_repeat and self.budget.withdraw()

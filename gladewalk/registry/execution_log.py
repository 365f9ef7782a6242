"""Where keyed requests may have run: per pending request and, across requests, per idempotency key."""

from __future__ import annotations

from .. import interface as api
from ..interface import Idempotency, Status
from ..limits.idempotency_keys import IdempotencyKeys, PossibleExecution
from .records import Attempt, PendingRequest

NOT_RUN_STATUSES = (Status.REJECTED, Status.CONNECT_FAILED, Status.NOT_SENT, Status.MISS)


class ExecutionLog:
    """Records sent attempts that may have run. Times are milliseconds of the caller's clock."""

    def __init__(self) -> None:
        self._keys: IdempotencyKeys[api.Server] = IdempotencyKeys()

    def start(self, pending: PendingRequest, now_ms: float) -> None:
        """Initialize a request with the first execution of earlier requests with the same idempotency key."""
        if _is_keyed(pending):
            pending.first_execution = self._keys.first_execution(pending.request.idempotency_key, now_ms)

    def has_room(self, pending: PendingRequest, now_ms: float) -> bool:
        """Whether a send of this request can be recorded; true for requests whose sends are not recorded."""
        return not _is_keyed(pending) or self._keys.has_room(pending.request.idempotency_key, now_ms)

    def record_sent(self, pending: PendingRequest, endpoint: api.Server, now_ms: float) -> None:
        """Record that an attempt is sent and may run from now on.

        Its key is kept for the window in which the class's repeats are dropped, and for the deadline of a
        retry that arrives at the end of this window.
        """
        if _is_keyed(pending):
            request_class = pending.request_class
            retention_ms = request_class.deduplication_window_ms + request_class.deadline_ms
            self._keys.record_sent(pending.request.idempotency_key, now_ms, endpoint, retention_ms)

    def record_outcome(self, status: Status, attempt: Attempt, pending: PendingRequest) -> None:
        """Record by the status of an ended attempt whether it has not run or may have run."""
        if status in NOT_RUN_STATUSES:
            key = pending.request.idempotency_key
            self._keys.record_not_run(key, attempt.sent_ms, attempt.endpoint)
        elif pending.first_execution is None:
            pending.first_execution = PossibleExecution(attempt.sent_ms, attempt.endpoint)


def _is_keyed(pending: PendingRequest) -> bool:
    """Whether the request's class is keyed and its client has given a key."""
    is_keyed_class = pending.request_class.idempotency is Idempotency.KEYED
    return is_keyed_class and bool(pending.request.idempotency_key)

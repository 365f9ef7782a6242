"""Where writes may have run: per pending request and, across requests, per idempotency key or id.

A keyed request is known by its key, which all retries of its client carry. A request of a class that must not
be repeated is known by its id and object: it comes again as it was where a client sends it on another
connection because the first one ended.
"""

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
        self._ids: IdempotencyKeys[api.Server] = IdempotencyKeys()

    def recall(self, pending: PendingRequest, now_ms: float) -> None:
        """Give a request the first execution of earlier requests that have its key or id, if it has none."""
        table, name = self._identity(pending)
        if name and pending.first_execution is None and not pending.in_flight:
            pending.first_execution = table.first_execution(name, now_ms)

    def recall_elsewhere(self, pending: PendingRequest, place: api.Server, now_ms: float) -> None:
        """Give a request its first execution at another process, which sent it to `place`."""
        earlier = pending.request.earlier_execution
        if earlier is not None and pending.first_execution is None:
            pending.first_execution = PossibleExecution(now_ms - earlier.age_ms, place)

    def has_room(self, pending: PendingRequest, now_ms: float) -> bool:
        """Whether a send of this request can be recorded; true for requests whose sends are not recorded."""
        table, name = self._identity(pending)
        return not name or table.has_room(name, now_ms)

    def record_sent(self, pending: PendingRequest, endpoint: api.Server, now_ms: float) -> None:
        """Record that an attempt is sent and may run from now on.

        Its key or id is kept for the window of the class, in which repeats of a key are dropped, and for the
        deadline of a request that arrives at the end of this window.
        """
        table, name = self._identity(pending)
        if name:
            request_class = pending.request_class
            retention_ms = request_class.deduplication_window_ms + request_class.deadline_ms
            table.record_sent(name, now_ms, endpoint, retention_ms)

    def record_outcome(self, status: Status, attempt: Attempt, pending: PendingRequest) -> None:
        """Record by the status of an ended attempt whether it has not run or may have run."""
        if status in NOT_RUN_STATUSES:
            table, name = self._identity(pending)
            table.record_not_run(name, attempt.sent_ms, attempt.endpoint)
        elif pending.first_execution is None:
            pending.first_execution = PossibleExecution(attempt.sent_ms, attempt.endpoint)

    def _identity(self, pending: PendingRequest) -> tuple[IdempotencyKeys[api.Server], str]:
        """Returns what a request is known by, and the table of it; empty: its sends are not recorded."""
        match pending.request_class.idempotency:
            case Idempotency.KEYED:
                return self._keys, pending.request.idempotency_key
            case Idempotency.NON_IDEMPOTENT if pending.request.trace_id:
                request = pending.request
                return self._ids, f"{request.trace_id} {request.key:x} {request.part}"
            case _:
                return self._keys, ""

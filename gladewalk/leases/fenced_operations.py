"""Queue of fenced operations: each is sent with the current token until its resource accepts it.

An operation without a response is sent again after an exponential backoff. A resource rejects an operation if
it has accepted the higher token of a later holder; the candidate is then notified and ends its lease. An
operation with number 0 only announces the token: every resource is sent one periodically, so that it rejects
the operations of any earlier holder. No I/O.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from .messages import FencedOperation, OperationResponse
from .outputs import Output, Send

INITIAL_BACKOFF_MS = 150.0
MAX_BACKOFF_MS = 5_000.0
MAX_PENDING_OPERATIONS = 4_096  # bounds memory


@dataclass(slots=True)
class PendingOperation:
    """An operation that one resource has not accepted yet."""

    task: str
    resource: str
    operation_id: str
    body: bytes
    due_at_ms: float
    backoff_ms: float = INITIAL_BACKOFF_MS


class FencedOperationQueue:
    """One director's pending operations; `resources` has the names of each task's resources.

    The numbers of operations follow `last_number`, which differs from run to run: a response to an operation
    of the run before must not be taken for one to another operation.
    """

    def __init__(self, director: str, resources: dict[str, tuple[str, ...]], last_number: int = 0) -> None:
        self.director, self.resources = director, resources
        self.pending: dict[int, PendingOperation] = {}  # by number
        self._pending_resources: Counter[tuple[str, str]] = Counter()  # by task and operation id
        self._last_number = last_number

    def is_pending(self, task: str, operation_id: str) -> bool:
        """Returns whether some resource has not accepted this operation yet."""
        return (task, operation_id) in self._pending_resources

    def submit(self, task: str, operation_id: str, body: bytes, now_ms: float) -> bool:
        """Queues an operation for every resource of the task; returns False if the queue is full."""
        resources = self.resources[task]
        if len(self.pending) + len(resources) > MAX_PENDING_OPERATIONS:
            return False
        for resource in resources:
            self._last_number += 1
            self.pending[self._last_number] = PendingOperation(task, resource, operation_id, body, now_ms)
        self._pending_resources[task, operation_id] += len(resources)
        return True

    def take_due(self, task: str, token: int, now_ms: float, wall_ms: float) -> Iterator[Output]:
        """Yields the operations that are due, under the token held now, and schedules their retries."""
        for number, operation in self.pending.items():
            if operation.task != task or now_ms < operation.due_at_ms:
                continue
            operation.due_at_ms = now_ms + operation.backoff_ms
            operation.backoff_ms = min(operation.backoff_ms * 2.0, MAX_BACKOFF_MS)
            message = FencedOperation(
                task, token, self.director, wall_ms, number, operation.operation_id, operation.body
            )
            yield Send(operation.resource, message)

    def announce_token(self, task: str, token: int, wall_ms: float) -> Iterator[Output]:
        """Yields an operation that only announces the token, for every resource of the task."""
        for resource in self.resources[task]:
            yield Send(resource, FencedOperation(task, token, self.director, wall_ms))

    def next_due_ms(self, task: str) -> float:
        """Returns when the next operation of the task is to be sent, or infinity."""
        due_ms = (operation.due_at_ms for operation in self.pending.values() if operation.task == task)
        return min(due_ms, default=float("inf"))

    def handle_acceptance(self, response: OperationResponse) -> PendingOperation | None:
        """Returns the operation that a resource accepted and removes it; None if unknown or rejected."""
        operation = self.pending.get(response.number)
        if operation is None or operation.task != response.task or not response.is_accepted:
            return None
        return self._remove(response.number)

    def cancel(self, task: str, operation_id: str | None = None) -> None:
        """Drops one operation of a task, or all of them if `operation_id` is None."""
        cancelled = [
            number
            for number, operation in self.pending.items()
            if operation.task == task and operation_id in (None, operation.operation_id)
        ]
        for number in cancelled:
            self._remove(number)

    def _remove(self, number: int) -> PendingOperation:
        operation = self.pending.pop(number)
        key = (operation.task, operation.operation_id)
        self._pending_resources[key] -= 1
        if not self._pending_resources[key]:
            del self._pending_resources[key]
        return operation

"""First-in, first-out queue of requests that wait for a source."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping

from .records import PendingRequest

MAX_REQUEUED = 8  # requests without a source after which a drain stops; bounds its cost


class RequestQueue:
    """A queue of request ids; requests that have ended or were routed in the meantime are skipped."""

    def __init__(self, pending: Mapping[int, PendingRequest]) -> None:
        """`pending` contains the requests without a final answer, by id."""
        self._pending = pending
        self._ids: deque[int] = deque()

    def __len__(self) -> int:
        return len(self._ids)

    def add(self, pending: PendingRequest) -> None:
        """Append a request unless it is queued already."""
        if not pending.is_queued:
            pending.is_queued = True
            self._ids.append(pending.request.id)

    def waiting(self) -> list[PendingRequest]:
        """The queued requests, the earliest first."""
        requests = (self._pending.get(request_id) for request_id in self._ids)
        return [pending for pending in requests if pending is not None and pending.is_queued]

    def drain(self, route: Callable[[PendingRequest], object]) -> None:
        """Route the requests in their order; those that are queued again keep their place before the rest."""
        remaining, requeued = len(self._ids), 0
        while remaining and requeued < MAX_REQUEUED:
            remaining -= 1
            pending = self._pending.get(self._ids.popleft())
            if pending is not None and pending.is_queued:
                pending.is_queued = False
                route(pending)
                requeued += pending.is_queued
        self._ids.rotate(requeued)

"""Where keyed requests may have run, by idempotency key.

Each retry of a client is a new request with the same key. Earlier sends of a key are taken into account for
its later requests, as if all were one request. Times are milliseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Generic, TypeVar

MAX_KEYS = 8192  # bounds memory
Place = TypeVar("Place")


@dataclass(slots=True, frozen=True)
class PossibleExecution(Generic[Place]):
    """A sent attempt that may have run, and where it was sent."""

    sent_ms: float
    place: Place


class IdempotencyKeys(Generic[Place]):
    """Sent attempts of keyed requests that may have run; bounded in number and age."""

    def __init__(self, max_keys: int = MAX_KEYS) -> None:
        self.max_keys = max_keys
        self.executions: OrderedDict[str, list[PossibleExecution[Place]]] = OrderedDict()  # oldest key first

    def record_sent(self, key: str, now_ms: float, place: Place) -> None:
        """Record a sent attempt, which may have run unless `record_not_run` is called for it."""
        self.executions.setdefault(key, []).append(PossibleExecution(now_ms, place))
        if len(self.executions) > self.max_keys:
            self.executions.popitem(last=False)

    def record_not_run(self, key: str, sent_ms: float, place: Place) -> None:
        """Drop the attempt that was sent at this time, which is now known not to have run."""
        executions = self.executions.get(key, [])
        execution = PossibleExecution(sent_ms, place)
        if execution in executions:
            executions.remove(execution)
            if not executions:
                del self.executions[key]

    def first_execution(self, key: str, now_ms: float, max_age_ms: float) -> PossibleExecution[Place] | None:
        """When and where a key's request may first have run; drops keys older than `max_age_ms`."""
        while self.executions and now_ms - next(iter(self.executions.values()))[0].sent_ms > max_age_ms:
            self.executions.popitem(last=False)
        executions = self.executions.get(key)
        return executions[0] if executions else None

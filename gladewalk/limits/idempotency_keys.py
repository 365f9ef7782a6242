"""Where keyed requests may have run, by idempotency key.

Each attempt of a client is a request of its own with the same key. What is known of a key's earlier attempts
holds for the later ones, as if all were one request. Times are milliseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Generic, TypeVar

MAX_KEYS = 8192  # bounds memory
Place = TypeVar("Place")


@dataclass(slots=True, frozen=True)
class PossibleExecution(Generic[Place]):
    """A send that may have run, with where it went."""

    sent_ms: float
    place: Place


class IdempotencyKeys(Generic[Place]):
    """Sends of keyed requests that may have run; bounded in number and in age."""

    def __init__(self, max_keys: int = MAX_KEYS) -> None:
        self.max_keys = max_keys
        self.executions: OrderedDict[str, list[PossibleExecution[Place]]] = OrderedDict()  # oldest key first

    def record_sent(self, key: str, now_ms: float, place: Place) -> None:
        """Count a send as one that may have run, until `record_not_run` says otherwise."""
        self.executions.setdefault(key, []).append(PossibleExecution(now_ms, place))
        if len(self.executions) > self.max_keys:
            self.executions.popitem(last=False)

    def record_not_run(self, key: str, sent_ms: float, place: Place) -> None:
        """Drop the send of that time, which is proven to have done nothing."""
        executions = self.executions.get(key, [])
        execution = PossibleExecution(sent_ms, place)
        if execution in executions:
            executions.remove(execution)
            if not executions:
                del self.executions[key]

    def first_execution(self, key: str, now_ms: float, max_age_ms: float) -> PossibleExecution[Place] | None:
        """When and where a key's request may have run first; drops whatever is older than `max_age_ms`."""
        while self.executions and now_ms - next(iter(self.executions.values()))[0].sent_ms > max_age_ms:
            self.executions.popitem(last=False)
        executions = self.executions.get(key)
        return executions[0] if executions else None

"""Where keyed requests may have run, by idempotency key.

Each retry of a client is a new request with the same key. Earlier sends of a key are taken into account for
its later requests, as if all were one request. Times are milliseconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from sortedcontainers import SortedSet

MAX_KEYS = 8192  # bounds memory
Place = TypeVar("Place")


@dataclass(slots=True, frozen=True)
class PossibleExecution(Generic[Place]):
    """A sent attempt that may have run, and where it was sent."""

    sent_ms: float
    place: Place


@dataclass(slots=True)
class KeyRecord(Generic[Place]):
    """What is known of one key; it is kept up to and including `expires_ms`."""

    executions: list[PossibleExecution[Place]] = field(default_factory=list)  # the earliest first
    expires_ms: float = -math.inf


class IdempotencyKeys(Generic[Place]):
    """Sent attempts of keyed requests that may have run; bounded in number and age.

    Each key is kept for the time that its own request needs, whatever the times of other keys are.
    """

    def __init__(self, max_keys: int = MAX_KEYS) -> None:
        self.max_keys = max_keys
        self._records: dict[str, KeyRecord[Place]] = {}
        self._expiries: SortedSet[tuple[float, str]] = (
            SortedSet()
        )  # when each key expires, the next one first

    def __len__(self) -> int:
        return len(self._records)

    def has_room(self, key: str, now_ms: float) -> bool:
        """Whether a send of this key can be recorded: no key is dropped before its time to make room."""
        self._expire(now_ms)
        return key in self._records or len(self._records) < self.max_keys

    def record_sent(self, key: str, now_ms: float, place: Place, retention_ms: float) -> None:
        """Record a sent attempt, which may have run unless `record_not_run` is called for it.

        The key is kept for at least `retention_ms` from now. The caller has asked `has_room` for it before.
        """
        self._expire(now_ms)
        record = self._records.setdefault(key, KeyRecord())
        record.executions.append(PossibleExecution(now_ms, place))
        self._expiries.discard((record.expires_ms, key))
        record.expires_ms = max(record.expires_ms, now_ms + retention_ms)
        self._expiries.add((record.expires_ms, key))

    def record_not_run(self, key: str, sent_ms: float, place: Place) -> None:
        """Drop the attempt that was sent at this time, which is now known not to have run."""
        record = self._records.get(key)
        execution = PossibleExecution(sent_ms, place)
        if record is None or execution not in record.executions:
            return
        record.executions.remove(execution)
        if not record.executions:
            self._drop(key)

    def first_execution(self, key: str, now_ms: float) -> PossibleExecution[Place] | None:
        """When and where a key's request may first have run; None if it has not or the key has expired."""
        self._expire(now_ms)
        record = self._records.get(key)
        return record.executions[0] if record is not None else None

    def _expire(self, now_ms: float) -> None:
        while self._expiries and self._expiries[0][0] < now_ms:
            self._drop(self._expiries[0][1])

    def _drop(self, key: str) -> None:
        record = self._records.pop(key)
        self._expiries.discard((record.expires_ms, key))

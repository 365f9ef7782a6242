"""Bounded maps by object: which servers have it, how long its transfer takes, when it was purged.

Times are milliseconds of the caller's clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import TypeVar

ObjectId = tuple[int, int]  # key, part
PurgeKey = tuple[str, int]  # "key" or "group", number
Value = TypeVar("Value")

LOCATION_TTL_MS = 30_000.0  # after which a location is forgotten; specified by the design
MAX_OBJECTS = 8192  # bounds memory


class BoundedObjectMap(dict[ObjectId, Value]):
    """A map by object that drops the least recently set entry when it has too many."""

    def put(self, object_id: ObjectId, value: Value) -> None:
        """Set an entry, as the most recent one."""
        self.pop(object_id, None)
        self[object_id] = value
        if len(self) > MAX_OBJECTS:
            del self[next(iter(self))]


class ObjectLocations(BoundedObjectMap[dict[str, float]]):
    """For each object the servers that had it, with the time at which each was last seen to have it."""

    def record(self, object_id: ObjectId, server: str, now_ms: float) -> None:
        """Record that a server has an object."""
        seen = self.get(object_id, {})
        recent = {name: at_ms for name, at_ms in seen.items() if now_ms - at_ms < LOCATION_TTL_MS}
        self.put(object_id, recent | {server: now_ms})

    def remove(self, object_id: ObjectId, server: str) -> None:
        """Record that a server does not have an object."""
        self.get(object_id, {}).pop(server, None)

    def last_seen_ms(self, object_id: ObjectId, server: str) -> float:
        """When a server was last seen to have an object; minus infinity if never."""
        return self.get(object_id, {}).get(server, -math.inf)

    def holders_since(
        self, object_id: ObjectId, since_ms: float, now_ms: float
    ) -> Iterator[tuple[str, float]]:
        """Servers last seen with an object after `since_ms` and within the time to live, with that time."""
        oldest_ms = max(now_ms - LOCATION_TTL_MS, since_ms)
        return ((name, at_ms) for name, at_ms in self.get(object_id, {}).items() if at_ms > oldest_ms)


class PurgeLog(dict[PurgeKey, float]):
    """When objects and groups were last purged, in the order in which the purges were recorded."""

    def record(self, key: int | None, group: int, at_ms: float) -> None:
        """Record the purge of an object or, without a key, of its whole group."""
        purge_key = ("group", group) if key is None else ("key", key)
        self[purge_key] = max(at_ms, self.pop(purge_key, at_ms))

    def last_ms(self, key: int, group: int) -> float:
        """When an object or its group was last purged; minus infinity if never."""
        return max(self.get(("key", key), -math.inf), self.get(("group", group), -math.inf))

    def has_any_since(self, key: int, group: int | None, since_ms: float) -> bool:
        """Whether an object may have been purged after `since_ms`; without a group, any group counts."""
        candidates = ("key", key), ("group", group)
        recent = (purge_key for purge_key, at_ms in self.items() if at_ms > since_ms)
        return any(
            purge_key in candidates or (group is None and purge_key[0] == "group") for purge_key in recent
        )

    def expire(self, until_ms: float) -> None:
        """Drop the purges up to `until_ms`."""
        while self and (oldest := next(iter(self.items())))[1] <= until_ms:
            del self[oldest[0]]

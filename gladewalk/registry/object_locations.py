"""What is remembered of objects, bounded in number: holders, sending times, purges. Times are ms."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import TypeVar

Object = tuple[int, int]  # key, part
Value = TypeVar("Value")

MEMORY_MS = 30_000.0  # a holder's memory fades in this (ms); the design page
OBJECTS_KNOWN = 8192  # objects whose holders, or whose sending time, are known at most (ours)


class Bounded(dict[Object, Value]):
    """Something of each object; what was put longest ago goes when there is too much."""

    def put(self, obj: Object, value: Value) -> None:
        self.pop(obj, None)
        self[obj] = value
        if len(self) > OBJECTS_KNOWN:
            del self[next(iter(self))]


class Holders(Bounded[dict[str, float]]):
    """Object -> server that held it -> when it was last seen there."""

    def saw(self, obj: Object, name: str, now_ms: float) -> None:
        lately = {n: at for n, at in self.get(obj, {}).items() if now_ms - at < MEMORY_MS}
        self.put(obj, lately | {name: now_ms})

    def lacks(self, obj: Object, name: str) -> None:
        self.get(obj, {}).pop(name, None)

    def last_seen(self, obj: Object, name: str) -> float:
        return self.get(obj, {}).get(name, -math.inf)

    def since(self, obj: Object, after_ms: float, now_ms: float) -> Iterator[tuple[str, float]]:
        """Who was seen with it after that time, and not longer ago than memories last."""
        floor = max(now_ms - MEMORY_MS, after_ms)
        return ((name, at) for name, at in self.get(obj, {}).items() if at > floor)


class Purges(dict[tuple[str, int], float]):
    """("key" | "group", number) -> when it was purged, the oldest in front."""

    def told(self, key: int | None, group: int, at_ms: float) -> None:
        what = ("group", group) if key is None else ("key", key)
        self[what] = max(at_ms, self.pop(what, at_ms))

    def last(self, key: int, group: int) -> float:
        """When an object, or its group, was last purged as far as was told."""
        return max(self.get(("key", key), -math.inf), self.get(("group", group), -math.inf))

    def any_since(self, key: int, group: int | None, since_ms: float) -> bool:
        """Whether it was purged after that time; without a group it may be in each of them."""
        ours = ("key", key), ("group", group)
        lately = (what for what, at in self.items() if at > since_ms)
        return any(what in ours or (group is None and what[0] == "group") for what in lately)

    def forget(self, until_ms: float) -> None:
        while self and (oldest := next(iter(self.items())))[1] <= until_ms:
            del self[oldest[0]]

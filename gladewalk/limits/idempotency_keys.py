"""Keyed requests across a client's own tries: where one may have run, and since when its repeats are dropped.

Each try of a client is a request of its own, with the same key. What is known here of a key's earlier tries
holds for the later ones, as if all were one request.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

KEYS_KNOWN = 8192  # keyed requests that may have run, known at most; bounds memory (ours)
Place = TypeVar("Place")


class Keys(Generic[Place]):
    """Sends of keyed requests that may have run, by key; bounded in number and in age. Times are ms."""

    def __init__(self, most: int = KEYS_KNOWN) -> None:
        self.most = most
        self.sends: OrderedDict[str, list[tuple[float, Place]]] = OrderedDict()  # oldest key first

    def sent(self, key: str, now_ms: float, place: Place) -> None:
        """From now on it may have run, until `never_ran` says otherwise."""
        self.sends.setdefault(key, []).append((now_ms, place))
        if len(self.sends) > self.most:
            self.sends.popitem(last=False)

    def never_ran(self, key: str, sent_ms: float, place: Place) -> None:
        """The send of that time is proven to have done nothing."""
        sends = self.sends.get(key, [])
        if (sent_ms, place) in sends:
            sends.remove((sent_ms, place))
            if not sends:
                del self.sends[key]

    def first(self, key: str, now_ms: float, keep_ms: float) -> tuple[float, Place] | None:
        """When and where it may have run first; what is older than `keep_ms` is forgotten."""
        while self.sends and now_ms - next(iter(self.sends.values()))[0][0] > keep_ms:
            self.sends.popitem(last=False)
        sends = self.sends.get(key)
        return sends[0] if sends else None

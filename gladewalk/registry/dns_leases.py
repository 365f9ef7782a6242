"""Answers that resolvers hold, by the place of the box that they name: they bound what a cold box is sent.

No I/O. None can be called back, and resolvers keep answers past their time to live, so that each counts for
the time of a lease. Sums are kept, and what expires is found by the second: an answer costs the same at ten
leases and at a million. A lease is known by a 64-bit hash of holder and object (`benchmarks/leases.py` tells
what it takes).

A director that starts without knowing what its last run gave out assumes the worst for as long as a lease may
last: that the bound is used up.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field

import xxhash

Object = tuple[int, int]


def key_of(holder: str, obj: Object) -> int:
    return xxhash.xxh3_64_intdigest(f"{holder}|{obj[0]:x}.{obj[1]}".encode())


@dataclass(slots=True)
class Place:
    """The leases of one place. Those of one second and weight share their tuple."""

    held: dict[int, tuple[float, float]] = field(default_factory=dict)  # until, weight
    total: float = 0.0


class Ledger:
    """Times are Unix ms, weights transfers at a time that a held answer may bring."""

    def __init__(self) -> None:
        self.places: defaultdict[str, Place] = defaultdict(Place)
        self.ends: dict[int, list[tuple[str, int]]] = {}  # what may end at each second
        self.next_end: float = math.inf
        self.unknown_until = 0.0
        self.shared = (0.0, 0.0)
        self.ttl_least_ms, self.ttl_most_ms = 1_000.0, 2_000.0

    def __len__(self) -> int:
        return sum(len(place.held) for place in self.places.values())

    def assume_the_worst(self, until_ms: float) -> None:
        """Nobody knows what was given out before now: up to then the bound counts as used up."""
        self.unknown_until = until_ms

    def total(self, place: str, bound: float, now_ms: float) -> float:
        """The weight held for a place; the bound itself while nobody knows."""
        self._expire(now_ms)
        known = self.places[place].total if place in self.places else 0.0
        return max(known, bound) if now_ms < self.unknown_until else known

    def room(self, place: str, holder: str, obj: Object, bound: float, now_ms: float) -> float:
        """The weight that one lease may have, beside all others of its place."""
        mine = self.find(place, holder, obj)
        return bound - self.total(place, bound, now_ms) + (mine[1] if mine is not None else 0.0)

    def hold(self, place: str, holder: str, obj: Object, until_ms: float, weight: float) -> None:
        """A lease, or the same one anew; it counts to the end of its second."""
        key, at, second = key_of(holder, obj), self.places[place], math.ceil(until_ms / 1_000.0)
        before = at.held.get(key)
        if (second * 1_000.0, weight) != self.shared:
            self.shared = (second * 1_000.0, weight)
        at.held[key] = self.shared
        at.total += weight - (before[1] if before is not None else 0.0)
        if before is None or before[0] != self.shared[0]:
            self.ends.setdefault(second, []).append((place, key))
            self.next_end = min(self.next_end, second)

    def find(self, place: str, holder: str, obj: Object) -> tuple[float, float] | None:
        """Until when, and with what weight."""
        at = self.places.get(place)
        return at.held.get(key_of(holder, obj)) if at is not None else None

    def ttl_ms(self, place: str, bound: float, cold: bool, now_ms: float) -> float:
        """How long an answer may be kept: the shorter, the nearer its box is to its bound.

        A box that is cold, or whose place is full, changes its state within seconds. The director itself is
        never a wrong answer, and may be kept for `ttl_most_ms`.
        """
        full = 1.0 if cold or bound <= 0.0 else min(1.0, self.total(place, bound, now_ms) / bound)
        return self.ttl_most_ms - full * (self.ttl_most_ms - self.ttl_least_ms)

    def _expire(self, now_ms: float) -> None:
        """Each second once. What was renewed since has a later entry."""
        now = now_ms // 1_000.0
        while self.next_end <= now:
            second = int(self.next_end)
            for name, key in self.ends.pop(second):
                place = self.places[name]
                held = place.held.get(key)
                if held is not None and held[0] <= second * 1_000.0:
                    del place.held[key]
                    place.total = place.total - held[1] if place.held else 0.0  # no rest of rounding
            self.next_end = min(self.ends, default=math.inf)

"""Admission by price: while few client connections are left, who holds one longest for its worth is shed."""

from __future__ import annotations

import math

LIMIT_PART = 0.9  # part of the connection limit that we fill by choice: the rest takes bursts (ours)
PRICE_LEAST = 2e-3  # worth a ms that a connection costs at first, at which nothing is shed (ours)
PRICE_MOST = 0.01  # and at the most: small requests pass even while silent servers hold all of them (ours)
HOLD_MS = 20.0  # what a request holds its connection beside its sending time, as measured (ms, ours)


class AdmissionPrice:
    def __init__(self) -> None:
        self.price = PRICE_LEAST

    def is_too_dear(self, worth: float, work_ms: float) -> bool:
        return self.price > PRICE_LEAST and worth < self.price * (HOLD_MS + work_ms)

    def taken(self, part: float) -> None:
        """Once a sweep: the part of the connection limit that is in use moves the price."""
        self.price = min(PRICE_MOST, max(PRICE_LEAST, self.price * math.exp(part - LIMIT_PART)))

"""Load shedding by price while client connections run short.

A request holds its connection for about its transfer time. While more than `TARGET_UTILIZATION` of the
connection limit is in use the price of a millisecond rises, and a request that is worth less than the time it
takes is rejected, so that the longest for their weight are shed first.
"""

from __future__ import annotations

import math

TARGET_UTILIZATION = 0.9  # of the connection limit; the rest takes bursts
MIN_PRICE = 2e-3  # priority weight per millisecond, at which nothing is shed
MAX_PRICE = 0.01  # small requests pass at it even while silent servers hold all connections
CONNECTION_OVERHEAD_MS = 20.0  # that a request holds its connection beside its transfer time, as measured


class AdmissionPrice:
    """The present price of a millisecond of a client connection, in units of priority weight."""

    def __init__(self) -> None:
        self.price = MIN_PRICE

    def should_shed(self, priority_weight: float, transfer_ms: float) -> bool:
        """Whether a request of this weight is worth less than the connection time it takes."""
        return self.price > MIN_PRICE and priority_weight < self.price * (
            CONNECTION_OVERHEAD_MS + transfer_ms
        )

    def update(self, utilization: float) -> None:
        """Move the price by the part of the connection limit in use; called once a sweep."""
        price = self.price * math.exp(utilization - TARGET_UTILIZATION)
        self.price = min(MAX_PRICE, max(MIN_PRICE, price))

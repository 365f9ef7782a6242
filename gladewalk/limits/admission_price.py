"""Load shedding by an admission price while client connections run short.

A request occupies its client connection for about its transfer time. While more than `TARGET_UTILIZATION` of
the connection limit is in use, the price per millisecond of connection time rises. A request is rejected if
its priority weight is less than the cost of its connection time, so that the requests with the longest time
for their weight are shed first.
"""

from __future__ import annotations

import math

TARGET_UTILIZATION = 0.9  # of the connection limit; the rest is headroom for bursts
MIN_PRICE = 2e-3  # priority weight per millisecond; at this price nothing is shed
MAX_PRICE = 0.01  # admits small requests even while requests to unresponsive servers hold all connections
CONNECTION_OVERHEAD_MS = 20.0  # time that a request holds its connection beyond its transfer time


class AdmissionPrice:
    """The current price of a millisecond of client connection time, in units of priority weight."""

    def __init__(self) -> None:
        self.price = MIN_PRICE

    def should_shed(self, priority_weight: float, transfer_ms: float) -> bool:
        """Whether the priority weight of a request is less than the cost of its connection time."""
        return self.price > MIN_PRICE and priority_weight < self.price * (
            CONNECTION_OVERHEAD_MS + transfer_ms
        )

    def update(self, utilization: float) -> None:
        """Adjust the price to the fraction of the connection limit in use; called once per sweep."""
        price = self.price * math.exp(utilization - TARGET_UTILIZATION)
        self.price = min(MAX_PRICE, max(MIN_PRICE, price))

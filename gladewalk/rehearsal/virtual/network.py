"""Delays and cuts of the virtual network, by sender and receiver. No I/O."""

from __future__ import annotations

import random
from collections import Counter

DEFAULT_DELAY_MS = (0.2, 1.0)
Pair = tuple[str, str]


class NetworkConditions:
    """The delay of each direction between two hosts, and whether the direction is cut.

    Hosts are identified by name; the empty name stands for every host without a name.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.delay_ranges_ms: dict[Pair, tuple[float, float]] = {}
        self.cut_counts: Counter[Pair] = Counter()  # number of faults that cut a direction now

    def draw_delay_ms(self, sender: str, receiver: str) -> float:
        """Draws the delay of the next piece of data."""
        return self._rng.uniform(*self.delay_ranges_ms.get((sender, receiver), DEFAULT_DELAY_MS))

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Whether the direction is cut now."""
        return self.cut_counts[sender, receiver] > 0

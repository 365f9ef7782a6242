"""Delays and cuts of the virtual network, by sender and receiver. No I/O."""

from __future__ import annotations

import random
from collections import Counter

DEFAULT_DELAY_MS = (0.2, 1.0)
Pair = tuple[str, str]


class NetworkConditions:
    """How long each direction between two hosts takes, and whether it passes anything.

    Hosts are known by name; the empty name stands for any that has none.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.delay_ranges_ms: dict[Pair, tuple[float, float]] = {}
        self.cut_counts: Counter[Pair] = Counter()  # faults in force on a direction

    def draw_delay_ms(self, sender: str, receiver: str) -> float:
        """Draws how long the next piece of data takes."""
        return self._rng.uniform(*self.delay_ranges_ms.get((sender, receiver), DEFAULT_DELAY_MS))

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Whether the direction passes nothing now."""
        return self.cut_counts[sender, receiver] > 0

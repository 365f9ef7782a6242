"""How long a path takes and whether it passes anything, by who speaks to whom. No I/O."""

from __future__ import annotations

import random
from collections import Counter

LEAST_MS, MOST_MS = 0.2, 1.0
Pair = tuple[str, str]


class Paths:
    """Between parties by name; an empty name is who is nobody in particular."""

    def __init__(self, rng: random.Random) -> None:
        self.random = rng
        self.times: dict[Pair, tuple[float, float]] = {}  # ms, from and to
        self.cuts: Counter[Pair] = Counter()  # faults in force on a direction

    def wait_ms(self, here: str, there: str) -> float:
        return self.random.uniform(*self.times.get((here, there), (LEAST_MS, MOST_MS)))

    def cut(self, here: str, there: str) -> bool:
        return self.cuts[here, there] > 0

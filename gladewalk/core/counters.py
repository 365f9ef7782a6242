"""Counts of what the director takes in, sends and answers; printed on SIGUSR1 and at exit."""

from __future__ import annotations

from collections import Counter


class Counters(Counter[str]):
    """Names are `part.what`, as in `requests.taken`; a name never counted reads as 0."""

    def add(self, name: str, amount: int = 1) -> None:
        self[name] += amount

    def report(self) -> dict[str, int]:
        return dict(sorted(self.items()))

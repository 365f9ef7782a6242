"""Event counters of a director, logged on SIGUSR1 and at exit."""

from __future__ import annotations

from collections import Counter


class Counters(Counter[str]):
    """Counts by name in the form `part.event`, such as `requests.taken`; an unknown name reads as 0."""

    def add(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        self[name] += amount

    def report(self) -> dict[str, int]:
        """Returns all counters, sorted by name."""
        return dict(sorted(self.items()))

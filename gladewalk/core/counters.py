"""Event counters of a director, logged on SIGUSR1 and at exit."""

from __future__ import annotations

from collections import Counter


class Counters(Counter[str]):
    """Counts by name, `part.what` as in `requests.taken`; a name never counted reads as 0."""

    def add(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        self[name] += amount

    def report(self) -> dict[str, int]:
        """Returns all counters in order of their names."""
        return dict(sorted(self.items()))

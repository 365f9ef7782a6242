"""The fleet's report: what every director counts, gathered by whoever holds the duty. No I/O.

Each director tells all others its counts now and then; the holder of the duty puts the latest of each into
one report. A director that was not heard for `stale_ms` is named as missing, and its last counts stay in the
totals: what was served was served. A director that starts again counts from 0 under another run; what its
earlier runs had counted is added, as far as this director heard of it.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from .messages import BODY_MOST, Figures

ROW_MOST = 120  # bytes of one director's row, at most; how many fit into an act follows from it
HEAD_MOST = 400


@dataclass(slots=True)
class Known:
    figures: Figures
    at_ms: float  # heard, on this director's clock
    before: Counter[str] = field(default_factory=Counter)  # of earlier runs


class FleetReport:
    """What one director knows of all; `names` are all directors."""

    def __init__(self, name: str, names: tuple[str, ...], run: int, stale_ms: float,
                 counts: Callable[[], dict[str, int]]) -> None:  # fmt: skip
        self.name, self.names, self.run, self.stale_ms, self.counts = name, names, run, stale_ms, counts
        self.known: dict[str, Known] = {}
        self.numbers = 0

    def own(self, now_ms: float, wall_ms: float) -> Figures:
        figures = Figures(self.name, self.run, wall_ms, self.counts())
        self.hear(figures, now_ms)
        return figures

    def hear(self, figures: Figures, now_ms: float) -> None:
        """The latest of a run counts; a datagram that came late does not set a count back."""
        if figures.name not in self.names:
            return
        known = self.known.get(figures.name)
        if known is None:
            self.known[figures.name] = Known(figures, now_ms)
        elif figures.run > known.figures.run:
            known.before.update(known.figures.counts)
            known.figures, known.at_ms = figures, now_ms
        elif figures.run == known.figures.run and figures.at_ms >= known.figures.at_ms:
            known.figures, known.at_ms = figures, now_ms

    def totals(self) -> dict[str, int]:
        total: Counter[str] = Counter()
        for known in self.known.values():
            total.update(known.before)
            total.update(known.figures.counts)
        return dict(sorted(total.items()))

    def missing(self, now_ms: float) -> list[str]:
        heard = {name for name, known in self.known.items() if now_ms - known.at_ms <= self.stale_ms}
        return [name for name in self.names if name not in heard]

    def parts(self, now_ms: float, wall_ms: float) -> list[tuple[str, bytes]]:
        """The report as acts: an id and a body each, no body over `BODY_MOST` bytes."""
        self.numbers += 1
        missing, all_of_them = self.missing(now_ms), len(self.names)
        rows = [{"name": name, "age_ms": round(now_ms - self.known[name].at_ms),
                 "served": self.known[name].figures.counts.get("served", 0)}
                for name in self.names if name in self.known]  # fmt: skip
        head = {"at_ms": round(wall_ms), "directors": all_of_them, "heard": all_of_them - len(missing),
                "missing": missing[:8], "totals": self.totals()}  # fmt: skip
        size = max(1, (BODY_MOST - HEAD_MOST) // ROW_MOST)
        pages = [rows[i : i + size] for i in range(0, len(rows), size)] or [[]]
        told = []
        for part, page in enumerate(pages):
            body = {"part": part, "parts": len(pages), "rows": page, **(head if part == 0 else {})}
            data = json.dumps(body, separators=(",", ":")).encode()
            told.append((f"{self.run}-{self.numbers}-{part}", data[:BODY_MOST]))
        return told

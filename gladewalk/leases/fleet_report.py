"""The fleet's report: every director's counts, collected by the holder of the report lease.

Each director periodically sends its counts to all others. A director whose counts have not been received for
`stale_after_ms` is listed as missing, and its last counts stay in the totals. After a restart a director
counts from 0 under a higher incarnation; the counts of its earlier incarnations are added as far as they were
received. No I/O.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from .messages import MAX_BODY_BYTES, DirectorMetrics

MAX_ROW_BYTES = 120  # of one director's row; limits the number of rows in a page
MAX_HEADER_BYTES = 400  # of the first page's header, reserved in every page
MAX_NAMED_MISSING = 8


@dataclass(slots=True)
class DirectorRecord:
    """The latest metrics of one director."""

    metrics: DirectorMetrics
    received_at_ms: float  # on the clock of the director that keeps this record
    earlier_counts: Counter[str] = field(default_factory=Counter)  # of earlier incarnations


@dataclass(slots=True, frozen=True)
class ReportPage:
    """One part of a report, as the body of a fenced operation."""

    operation_id: str
    body: bytes  # JSON, `MAX_BODY_BYTES` at most


class FleetReport:
    """The counts of all `directors` as one of them received them; `read_counts` returns its own."""

    def __init__(
        self,
        name: str,
        directors: tuple[str, ...],
        incarnation: int,
        stale_after_ms: float,
        read_counts: Callable[[], dict[str, int]],
    ) -> None:
        self.name, self.directors, self.incarnation = name, directors, incarnation
        self.others = tuple(director for director in directors if director != name)
        self.stale_after_ms, self.read_counts = stale_after_ms, read_counts
        self.records: dict[str, DirectorRecord] = {}
        self._report_count = 0

    def record_own(self, now_ms: float, wall_ms: float) -> DirectorMetrics:
        """Records this director's counts and returns them, to be sent to the others."""
        metrics = DirectorMetrics(self.name, self.incarnation, wall_ms, self.read_counts())
        self.record(metrics, now_ms)
        return metrics

    def record(self, metrics: DirectorMetrics, now_ms: float) -> None:
        """Records a director's counts; ignores those of a delayed datagram that are older than the last."""
        if metrics.director not in self.directors:
            return
        record = self.records.get(metrics.director)
        if record is None:
            self.records[metrics.director] = DirectorRecord(metrics, now_ms)
            return
        latest = record.metrics
        if metrics.incarnation > latest.incarnation:
            record.earlier_counts.update(latest.counts)
        elif metrics.incarnation < latest.incarnation or metrics.recorded_at_ms < latest.recorded_at_ms:
            return
        record.metrics, record.received_at_ms = metrics, now_ms

    def totals(self) -> dict[str, int]:
        """Returns the sum of all directors' counts, in the order of their names."""
        total: Counter[str] = Counter()
        for record in self.records.values():
            total.update(record.earlier_counts)
            total.update(record.metrics.counts)
        return dict(sorted(total.items()))

    def missing(self, now_ms: float) -> list[str]:
        """Returns the directors whose counts have not been received for `stale_after_ms`."""
        recent = {
            name
            for name, record in self.records.items()
            if now_ms - record.received_at_ms <= self.stale_after_ms
        }
        return [name for name in self.directors if name not in recent]

    def build(self, now_ms: float, wall_ms: float) -> list[ReportPage]:
        """Returns the report in pages, each small enough for one fenced operation."""
        self._report_count += 1
        rows = [self._row(name, now_ms) for name in self.directors if name in self.records]
        rows_per_page = max(1, (MAX_BODY_BYTES - MAX_HEADER_BYTES) // MAX_ROW_BYTES)
        pages = [rows[first : first + rows_per_page] for first in range(0, len(rows), rows_per_page)]
        built = []
        for part, page in enumerate(pages or [[]]):
            header = self._header(now_ms, wall_ms) if part == 0 else {}
            content = {"part": part, "parts": len(pages) or 1, "rows": page, **header}
            body = json.dumps(content, separators=(",", ":")).encode()
            operation_id = f"{self.incarnation}-{self._report_count}-{part}"
            built.append(ReportPage(operation_id, body[:MAX_BODY_BYTES]))
        return built

    def _row(self, director: str, now_ms: float) -> dict[str, object]:
        record = self.records[director]
        age_ms = round(now_ms - record.received_at_ms)
        return {"name": director, "age_ms": age_ms, "served": record.metrics.counts.get("served", 0)}

    def _header(self, now_ms: float, wall_ms: float) -> dict[str, object]:
        missing, director_count = self.missing(now_ms), len(self.directors)
        return {
            "at_ms": round(wall_ms),
            "directors": director_count,
            "heard": director_count - len(missing),
            "missing": missing[:MAX_NAMED_MISSING],
            "totals": self.totals(),
        }

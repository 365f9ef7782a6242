"""Checks recorded operations: one holder at a time, fenced, and no task without a holder for long.

Operations are read task by task in the order they arrived. The span of each token, from its first operation
to its last by the holder's wall time (on one machine, one clock), must not cross another token's span; an
accepted operation must not carry a token lower than one accepted before it; a rejection must follow a higher
accepted token; and between the first accepted operation and `end_ms` no gap without an accepted one may
exceed the caller's bound, except in the spans of `excused`, in which no director could hold (no majority).
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .fence import OperationRecord

TimeSpan = tuple[float, float]  # ms: start, end


@dataclass(slots=True, frozen=True)
class Verdict:
    """Violations and sizes of one history, or of several."""

    overlaps: int  # pairs of tokens of one task whose spans cross
    stale_accepted: int
    unexplained_rejections: int  # without a higher token accepted before them
    max_gap_ms: float  # between accepted operations, excused spans taken out
    operations: int
    rejections: int

    def summary(self, run_count: int) -> str:
        """Formats the last line of the benchmarks that judge leases."""
        return (
            f"overlaps={self.overlaps} stale_accepted={self.stale_accepted} "
            f"orphan_max_ms={self.max_gap_ms:.0f} runs={run_count}"
        )

    @property
    def is_safe(self) -> bool:
        """Whether no two directors held at once and every token was judged rightly."""
        return self.overlaps == 0 and self.stale_accepted == 0 and self.unexplained_rejections == 0


def count_overlaps(records: Iterable[OperationRecord]) -> int:
    """Counts pairs of successive tokens of one task whose spans cross."""
    spans: dict[int, TimeSpan] = {}
    for record in records:
        at_ms = record.performed_at_ms
        first_ms, last_ms = spans.get(record.token, (at_ms, at_ms))
        spans[record.token] = (min(first_ms, at_ms), max(last_ms, at_ms))
    in_token_order = [span for _, span in sorted(spans.items())]
    return sum(later[0] <= earlier[1] for earlier, later in itertools.pairwise(in_token_order))


def longest_gap(times_ms: Sequence[float], end_ms: float | None, excused: Sequence[TimeSpan]) -> float:
    """Returns the longest time between two of `times_ms`, in ms, less its parts that are excused."""
    points = sorted(times_ms) + ([end_ms] if end_ms is not None and times_ms else [])
    longest_ms = 0.0
    for before_ms, after_ms in itertools.pairwise(points):
        gap_ms = after_ms - before_ms
        for start_ms, stop_ms in excused:
            gap_ms -= max(0.0, min(after_ms, stop_ms) - max(before_ms, start_ms))
        longest_ms = max(longest_ms, gap_ms)
    return longest_ms


def _check_task(
    records: Sequence[OperationRecord], end_ms: float | None, excused: Sequence[TimeSpan]
) -> Verdict:
    stale_accepted = unexplained = rejections = highest_token = 0
    for record in records:
        if record.is_accepted:
            stale_accepted += record.token < highest_token
            highest_token = max(highest_token, record.token)
        else:
            rejections += 1
            unexplained += record.token >= highest_token
    accepted_ms = [record.received_at_ms for record in records if record.is_accepted]
    max_gap_ms = longest_gap(accepted_ms, end_ms, excused)
    overlaps = count_overlaps(records)
    return Verdict(overlaps, stale_accepted, unexplained, max_gap_ms, len(records), rejections)


def check_history(
    records: Iterable[OperationRecord], end_ms: float | None = None, excused: Sequence[TimeSpan] = ()
) -> Verdict:
    """Returns the verdict over all tasks of one resource; `end_ms` and `excused` are on its clock."""
    by_task: dict[str, list[OperationRecord]] = defaultdict(list)
    for record in records:
        by_task[record.task].append(record)
    verdicts = [_check_task(task_records, end_ms, excused) for task_records in by_task.values()]
    return Verdict(
        overlaps=sum(verdict.overlaps for verdict in verdicts),
        stale_accepted=sum(verdict.stale_accepted for verdict in verdicts),
        unexplained_rejections=sum(verdict.unexplained_rejections for verdict in verdicts),
        max_gap_ms=max((verdict.max_gap_ms for verdict in verdicts), default=0.0),
        operations=sum(verdict.operations for verdict in verdicts),
        rejections=sum(verdict.rejections for verdict in verdicts),
    )


def check_resources(
    histories: Sequence[Sequence[OperationRecord]],
    end_ms: float | None = None,
    excused: Sequence[TimeSpan] = (),
) -> Verdict:
    """Returns the verdict over several resources.

    Each resource has a fence of its own, so tokens are judged one resource at a time; holders are judged over
    all, since two that operate on two resources at once are two holders.
    """
    verdicts = [check_history(records, end_ms, excused) for records in histories]
    everything = check_history(
        sorted(itertools.chain.from_iterable(histories), key=lambda record: record.received_at_ms)
    )
    return Verdict(
        overlaps=everything.overlaps,
        stale_accepted=sum(verdict.stale_accepted for verdict in verdicts),
        unexplained_rejections=sum(verdict.unexplained_rejections for verdict in verdicts),
        max_gap_ms=max((verdict.max_gap_ms for verdict in verdicts), default=0.0),
        operations=everything.operations,
        rejections=sum(verdict.rejections for verdict in verdicts),
    )

"""Checks recorded operations: one holder at a time, correct fencing, and the longest time without a holder.

Operations are checked task by task in the order in which they were received. The span of each token, from its
first operation to its last by the holder's wall time (all holders share one machine's clock), must not
overlap another token's span. An accepted operation must not have a lower token than one accepted before it,
and a rejection must follow the acceptance of a higher token. The longest gap between accepted operations, up
to `end_ms`, is returned for the caller to compare with its bound. It does not count `excluded_spans`, in
which no director could hold the lease (no majority).
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
    """Violations, counts and the longest gap of one history, or of several."""

    overlaps: int  # pairs of successive tokens of one task whose spans overlap
    stale_accepted: int  # operations accepted after a higher token
    unexplained_rejections: int  # rejections with no higher token accepted before them
    max_gap_ms: float  # between accepted operations, without the excluded spans
    operations: int
    rejections: int

    def summary(self, run_count: int) -> str:
        """Formats the last line of the benchmarks that check leases."""
        return (
            f"overlaps={self.overlaps} stale_accepted={self.stale_accepted} "
            f"orphan_max_ms={self.max_gap_ms:.0f} runs={run_count}"
        )

    @property
    def is_safe(self) -> bool:
        """Whether no two directors held a lease at once and every token was checked correctly."""
        return self.overlaps == 0 and self.stale_accepted == 0 and self.unexplained_rejections == 0


def count_overlaps(records: Iterable[OperationRecord]) -> int:
    """Counts pairs of successive tokens of one task whose spans overlap."""
    spans: dict[int, TimeSpan] = {}
    for record in records:
        at_ms = record.performed_at_ms
        first_ms, last_ms = spans.get(record.token, (at_ms, at_ms))
        spans[record.token] = (min(first_ms, at_ms), max(last_ms, at_ms))
    in_token_order = [span for _, span in sorted(spans.items())]
    return sum(later[0] <= earlier[1] for earlier, later in itertools.pairwise(in_token_order))


def longest_gap(times_ms: Sequence[float], end_ms: float | None, excluded_spans: Sequence[TimeSpan]) -> float:
    """Returns the longest time between successive `times_ms`, in ms, without the excluded spans."""
    points = sorted(times_ms) + ([end_ms] if end_ms is not None and times_ms else [])
    longest_ms = 0.0
    for before_ms, after_ms in itertools.pairwise(points):
        gap_ms = after_ms - before_ms
        for start_ms, stop_ms in excluded_spans:
            gap_ms -= max(0.0, min(after_ms, stop_ms) - max(before_ms, start_ms))
        longest_ms = max(longest_ms, gap_ms)
    return longest_ms


def _check_task(
    records: Sequence[OperationRecord], end_ms: float | None, excluded_spans: Sequence[TimeSpan]
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
    max_gap_ms = longest_gap(accepted_ms, end_ms, excluded_spans)
    overlaps = count_overlaps(records)
    return Verdict(overlaps, stale_accepted, unexplained, max_gap_ms, len(records), rejections)


def check_history(
    records: Iterable[OperationRecord], end_ms: float | None = None, excluded_spans: Sequence[TimeSpan] = ()
) -> Verdict:
    """Returns the verdict over all tasks of one resource; `end_ms` and `excluded_spans` are on its clock."""
    by_task: dict[str, list[OperationRecord]] = defaultdict(list)
    for record in records:
        by_task[record.task].append(record)
    verdicts = [_check_task(task_records, end_ms, excluded_spans) for task_records in by_task.values()]
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
    excluded_spans: Sequence[TimeSpan] = (),
) -> Verdict:
    """Returns the verdict over several resources.

    Each resource has its own fence, so tokens are checked one resource at a time. Holders are checked over
    all resources, since two directors that operate on two resources at once are two holders.
    """
    verdicts = [check_history(records, end_ms, excluded_spans) for records in histories]
    combined = check_history(
        sorted(itertools.chain.from_iterable(histories), key=lambda record: record.received_at_ms)
    )
    return Verdict(
        overlaps=combined.overlaps,
        stale_accepted=sum(verdict.stale_accepted for verdict in verdicts),
        unexplained_rejections=sum(verdict.unexplained_rejections for verdict in verdicts),
        max_gap_ms=max((verdict.max_gap_ms for verdict in verdicts), default=0.0),
        operations=combined.operations,
        rejections=sum(verdict.rejections for verdict in verdicts),
    )

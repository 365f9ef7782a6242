"""Compaction policy: when a new segment begins, and which old ones are worth compacting. No I/O.

Only a prefix of the segments is ever compacted, all from the oldest up to one: a deletion within it then has
nothing older left to delete and goes, and the result takes their place by its number alone. Choosing by the
bytes freed for each byte rewritten is the cost-benefit policy of log-structured file systems (Rosenblum and
Ousterhout, 1992, section 3.6) without its age factor.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MIN_GARBAGE_FRACTION = 0.5  # of a prefix's bytes, from which on it is compacted
MIN_GARBAGE_FRACTION_NEAR_LIMIT = 0.1
NEAR_LIMIT_FRACTION = 0.8  # of the size limit
FIXED_COST_BYTES = 4096.0  # of a compaction, whatever it rewrites


@dataclass(slots=True, frozen=True)
class SegmentUsage:
    """One sealed segment: its bytes on disk, and those of them that are live."""

    number: int
    size_bytes: int
    live_bytes: int


def is_segment_full(size_bytes: int, max_segment_bytes: int) -> bool:
    """Whether the next record begins a new segment."""
    return size_bytes >= max_segment_bytes


def choose_compaction_prefix(
    sealed: Sequence[SegmentUsage], total_bytes: int, max_total_bytes: int
) -> int | None:
    """The number of the last segment to compact, or None if no prefix is worth it.

    `sealed` in ascending order; `total_bytes` includes the open segment. A compaction takes space before it
    frees any, so near the limit less garbage suffices.
    """
    is_near_limit = total_bytes >= NEAR_LIMIT_FRACTION * max_total_bytes
    min_fraction = MIN_GARBAGE_FRACTION_NEAR_LIMIT if is_near_limit else MIN_GARBAGE_FRACTION
    size_bytes = live_bytes = 0
    best: tuple[float, int] | None = None
    for segment in sealed:
        size_bytes += segment.size_bytes
        live_bytes += max(0, segment.live_bytes)
        garbage_bytes = size_bytes - live_bytes
        if size_bytes and garbage_bytes / size_bytes >= min_fraction:
            benefit = garbage_bytes / (live_bytes + FIXED_COST_BYTES)
            if best is None or benefit > best[0]:
                best = (benefit, segment.number)
    return best[1] if best is not None else None

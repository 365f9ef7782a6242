"""Compaction policy: when a new segment begins, and which old segments are compacted. No I/O.

A compaction always rewrites a prefix of the segments: all of them from the oldest up to a chosen one. No
older record remains that a deletion within the prefix could refer to, so that the deletions are dropped. The
compacted segment has the number of the prefix's last segment, which alone shows which segments it replaces.
The prefix is chosen by the bytes that are freed for each byte rewritten. This is the cost-benefit policy of
log-structured file systems (Rosenblum and Ousterhout, 1992, section 3.6) without its age factor.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MIN_GARBAGE_FRACTION = 0.5  # a prefix is compacted once this fraction of its bytes is garbage
MIN_GARBAGE_FRACTION_NEAR_LIMIT = 0.1  # the same when the store is near its size limit
NEAR_LIMIT_FRACTION = 0.8  # a store is near its size limit from this fraction of the limit on
FIXED_COST_BYTES = 4096.0  # added to the bytes that a compaction rewrites, as its cost


@dataclass(slots=True, frozen=True)
class SegmentUsage:
    """One sealed segment: its bytes on disk, and how many of them belong to live records."""

    number: int
    size_bytes: int
    live_bytes: int


def is_segment_full(size_bytes: int, max_segment_bytes: int) -> bool:
    """Returns whether the next record has to begin a new segment."""
    return size_bytes >= max_segment_bytes


def choose_compaction_prefix(
    sealed: Sequence[SegmentUsage], total_bytes: int, max_total_bytes: int
) -> int | None:
    """Returns the number of the last segment to compact, or None if no prefix has enough garbage.

    `sealed` is in ascending order; `total_bytes` includes the open segment. A compaction needs space before
    it frees any, so that near the limit a smaller fraction of garbage suffices.
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

"""When a store begins a new segment, and which old ones are worth compacting. No I/O.

Only a *prefix* of the segments is ever compacted, all from the oldest up to one: so a deletion within it has
nothing older left to delete and goes, and the result stands in their place by its number alone.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

GARBAGE_PART = 0.5  # of a prefix that is no longer of use, from which on it is worth it
PRESSED_PART = 0.1  # and once the store nears its limit
NEAR_LIMIT = 0.8  # of the bytes that it may take


@dataclass(slots=True, frozen=True)
class Segment:
    """One sealed segment: its bytes on disk, and those of them that still count."""

    number: int
    size: int
    live: int


def wants_new_segment(size: int, segment_most: int) -> bool:
    return size >= segment_most


def prefix_to_compact(sealed: Sequence[Segment], total: int, limit: int) -> int | None:
    """The number up to which to compact, or None. `total`: all bytes, the open segment's too.

    Of all prefixes the one that frees most for what it writes. Compaction takes room itself before it gives
    any: so it begins while there is enough left.
    """
    part = PRESSED_PART if total >= NEAR_LIMIT * limit else GARBAGE_PART
    size = live = 0
    best: tuple[float, int] | None = None
    for segment in sealed:
        size += segment.size
        live += max(0, segment.live)
        if size and (size - live) / size >= part:
            worth = (size - live) / (live + 4096.0)
            if best is None or worth > best[0]:
                best = (worth, segment.number)
    return best[1] if best is not None else None

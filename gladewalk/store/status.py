"""The store as the control socket shows it; the JSON keys are part of its protocol."""

from __future__ import annotations

import msgspec


class StoreStatus(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "feed_index": "feed",
        "durable_sequence": "durable",
        "last_sequence": "sequence",
        "key_count": "keys",
        "size_bytes": "bytes",
        "segment_count": "segments",
        "compaction_count": "compactions",
        "is_disk_failing": "refused_by_disk",
    },
):
    """What is stored, and how much of it is durable.

    Attributes:
        policy: When a write is acknowledged.
        feed_index: Up to which event the coordinator's feed is stored; 0 if it is not.
        durable_sequence: Sequence number of the last durable record.
        last_sequence: Sequence number of the last record.
        key_count: Keys in the index, deletions that a compaction has not yet removed included.
        size_bytes: Size on disk.
        segment_count: Segments.
        compaction_count: Compactions since the start.
        is_disk_failing: The disk rejects writes: nothing new outlives a restart.
        purges: Durable purges in force, sorted.
    """

    policy: str
    feed_index: int
    durable_sequence: int
    last_sequence: int
    key_count: int
    size_bytes: int
    segment_count: int
    compaction_count: int
    is_disk_failing: bool
    purges: list[str]

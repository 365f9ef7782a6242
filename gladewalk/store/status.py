"""The store's status on the control socket; the JSON keys are part of its protocol."""

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
    """How much is stored, and how much of it is durable.

    Attributes:
        policy: The sync policy, which sets when a write is acknowledged.
        feed_index: Number of the last stored event of the coordinator's feed; 0 if the feed is not stored.
        durable_sequence: Sequence number of the last durable record.
        last_sequence: Sequence number of the last record.
        key_count: Keys in the index, with deletions that no compaction has removed yet.
        size_bytes: Size on disk.
        segment_count: Number of segments.
        compaction_count: Compactions since the start.
        is_disk_failing: The disk rejects writes: new changes would be lost by a restart.
        purges: Keys of the durable purges, sorted.
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

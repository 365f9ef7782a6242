"""The choice of segments to compact, and the size limit of a store."""

from __future__ import annotations

from gladewalk.rehearsal.faulty_disk import FaultyDisk
from gladewalk.store.compaction_policy import SegmentUsage, choose_compaction_prefix
from gladewalk.store.segmented_log import LogConfig

from .support import open_log, values_in


def test_a_prefix_is_compacted_when_enough_of_it_is_garbage() -> None:
    sealed = [SegmentUsage(1, 1_000, 900), SegmentUsage(2, 1_000, 100), SegmentUsage(3, 1_000, 950)]
    assert choose_compaction_prefix(sealed, 3_000, 1_000_000) == 2
    assert choose_compaction_prefix(sealed[:1], 1_000, 1_000_000) is None
    assert choose_compaction_prefix(sealed[:1], 1_000, 1_100) == 1  # near the limit less garbage suffices
    assert choose_compaction_prefix([], 0, 100) is None


def test_a_store_stays_below_its_limit_while_keys_are_overwritten(disk: FaultyDisk) -> None:
    config = LogConfig(max_segment_bytes=4_096, max_total_bytes=32_768)
    log = open_log(disk, config)
    max_bytes = 0
    for number in range(2_000):
        log.put("s", f"k{number % 20}", bytes(100))
        log.commit()
        if (through_segment := log.choose_compaction()) is not None:
            log.compact(through_segment)
        max_bytes = max(max_bytes, sum(len(file.data) for file in disk.files.values()))
    assert max_bytes < config.max_total_bytes
    assert log.compaction_count > 5
    assert len(values_in(open_log(disk, config))) == 20

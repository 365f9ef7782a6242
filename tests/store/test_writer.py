"""The asynchronous writer: it acknowledges changes when they are durable, also if the disk rejects writes."""

from __future__ import annotations

import asyncio
import errno
from dataclasses import dataclass, field

import pytest

from gladewalk.core.counters import Counters
from gladewalk.rehearsal.director_harness import wait_until
from gladewalk.rehearsal.faulty_disk import FaultyDisk, never_fail
from gladewalk.store import writer as writer_module
from gladewalk.store.segmented_log import LogConfig
from gladewalk.store.writer import StoreWriter, SyncPolicy

from .support import SMALL, async_test, fail_writes, open_log


@dataclass
class WriterFactory:
    """Starts writers on one disk and records the events that they log."""

    disk: FaultyDisk
    events: list[str] = field(default_factory=list)

    def start(self, policy: SyncPolicy = "each", config: LogConfig = SMALL) -> StoreWriter:
        log = open_log(self.disk, config)
        writer = StoreWriter(log, policy, 5.0, Counters(), lambda event, why: self.events.append(event))
        writer.start()
        return writer


@pytest.fixture
def writers(disk: FaultyDisk) -> WriterFactory:
    return WriterFactory(disk)


@pytest.mark.parametrize("policy", ["each", "group"])
@async_test
async def test_an_acknowledged_put_outlasts_a_power_loss_and_puts_share_syncs(
    disk: FaultyDisk, writers: WriterFactory, policy: SyncPolicy
) -> None:
    writer = writers.start(policy)
    futures = [writer.put("s", f"k{number}", bytes(30)) for number in range(200)]
    assert set(await asyncio.gather(*futures)) == {True}
    assert len(open_log(disk.after_power_loss(1)).items("s")) == 200
    assert disk.sync_count < 60
    await writer.close()


@async_test
async def test_a_full_disk_is_logged_once_blocks_no_put_and_is_retried(
    disk: FaultyDisk, writers: WriterFactory, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(writer_module, "RETRY_INTERVAL_SECONDS", 0.05)
    writer = writers.start()
    assert await writer.put("s", "a", b"1") is True
    disk.fault_rule = fail_writes(errno.ENOSPC)
    assert await writer.put("s", "b", b"2") is False
    assert await writer.put("s", "c", b"3") is False
    assert writer.log.get("s", "c") == b"3"  # in memory the change takes effect anyway
    disk.fault_rule = never_fail
    await wait_until(lambda: not writer.is_failing)
    assert writers.events == ["store can't write", "store is back"]
    assert len(open_log(disk.after_power_loss(2)).items("s")) == 3
    assert await writer.put("s", "d", b"4") is True
    await writer.close()


@async_test
async def test_a_compaction_during_puts_loses_none(disk: FaultyDisk, writers: WriterFactory) -> None:
    writer = writers.start(config=LogConfig(max_segment_bytes=2_000, max_total_bytes=30_000))
    for number in range(600):
        future = writer.put("s", f"k{number % 12}", number.to_bytes(4, "big") + bytes(60))
        if number % 10 == 0:
            await future
    await future
    await wait_until(lambda: writer.counters["store.compactions"] > 2)
    await writer.close()
    restored = open_log(disk.after_power_loss(3)).items("s")
    assert restored == writer.log.items("s")
    assert {int.from_bytes(value[:4], "big") for value in restored.values()} == set(range(588, 600))

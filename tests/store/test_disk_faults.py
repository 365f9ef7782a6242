"""Disks that reject calls, and crashes in the middle of a compaction: nothing acknowledged is lost."""

from __future__ import annotations

import errno

import pytest

from gladewalk.rehearsal.faulty_disk import FaultyDisk, never_fail
from gladewalk.store.errors import StoreFullError
from gladewalk.store.segmented_log import LogConfig

from .support import History, Values, fail_writes, newest_file, open_log, values_in


class CrashError(Exception):
    pass


def write_over_a_fault(disk: FaultyDisk, fail_at: int, code: int) -> Values:
    """Writes and compacts on a disk that rejects one call; what was acknowledged."""
    disk.fault_rule = lambda operation, name, number: code if number == fail_at else 0
    acknowledged: Values = {}
    try:
        log = open_log(disk)
    except OSError:
        return {}
    for number in range(14):
        log.put("s", f"k{number}", bytes([number]) * 60)
        try:
            log.commit()
        except OSError:
            continue  # the next commit writes it, too
        acknowledged = {("s", f"k{earlier}"): bytes([earlier]) * 60 for earlier in range(number + 1)}
        try:
            if number in (7, 11):
                log.compact(sorted(log.segments)[0])
        except OSError:
            continue
    return acknowledged


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO], ids=errno.errorcode.get)
def test_a_rejection_of_any_call_loses_nothing_that_was_acknowledged(code: int) -> None:
    calm = FaultyDisk()
    assert len(write_over_a_fault(calm, -1, 0)) == 14
    assert calm.call_count > 40
    for fail_at in range(1, calm.call_count + 1):
        for seed in range(3):
            disk = FaultyDisk()
            acknowledged = write_over_a_fault(disk, fail_at, code)
            found = values_in(open_log(disk.after_kill() if seed == 0 else disk.after_power_loss(seed)))
            lost = {slot for slot, value in acknowledged.items() if found.get(slot) != value}
            assert not lost, (fail_at, seed, lost)


def test_a_crash_at_every_step_of_a_compaction_changes_nothing(history: History) -> None:
    before = history.disk.call_count
    history.log.compact(sorted(history.log.segments)[-2])
    steps = history.disk.call_count - before
    assert steps >= 6
    for step in range(1, steps + 1):
        for seed in range(8):
            crash_in_compaction(step, seed)


def crash_in_compaction(step: int, seed: int) -> None:
    history = History()
    disk, crash_at = history.disk, history.disk.call_count + step

    def crash(operation: str, name: str, number: int) -> int:
        if number == crash_at:
            raise CrashError
        return 0

    disk.fault_rule = crash
    with pytest.raises(CrashError):
        history.log.compact(sorted(history.log.segments)[-2])
    disk.fault_rule = never_fail
    after = disk.after_kill() if seed == 0 else disk.after_power_loss(seed)
    found = open_log(after)
    assert values_in(found) == history.final_values, (step, seed)
    found.compact(max(found.segments))
    assert values_in(open_log(after.after_power_loss(seed))) == history.final_values


def test_what_waits_for_a_full_disk_is_bounded_and_is_written_later(disk: FaultyDisk) -> None:
    log = open_log(disk, LogConfig())
    log.put("s", "first", b"1")
    log.commit()
    disk.fault_rule = fail_writes(errno.ENOSPC)
    with pytest.raises(StoreFullError):
        for number in range(100):
            log.put("s", f"k{number}", bytes(100_000))
            with pytest.raises(OSError, match="ENOSPC"):
                log.commit()
    assert log.get("s", "first") == b"1"
    disk.fault_rule = never_fail
    log.commit()
    assert len(values_in(open_log(disk.after_power_loss(1), LogConfig()))) == len(values_in(log))


def test_a_file_whose_sync_failed_is_not_written_again(disk: FaultyDisk) -> None:
    log = open_log(disk, LogConfig())
    log.put("s", "a", b"1")
    log.commit()
    name = newest_file(log)
    disk.fault_rule = lambda operation, name, number: errno.EIO if operation == "sync" else 0
    log.put("s", "b", b"2")
    with pytest.raises(OSError, match="EIO"):
        log.commit()
    size_bytes = len(disk.files[name].data)
    disk.fault_rule = never_fail
    log.commit()
    assert len(disk.files[name].data) == size_bytes
    for seed in range(20):
        assert values_in(open_log(disk.after_power_loss(seed), LogConfig())) == values_in(log)

"""Disks that reject calls, and crashes during a compaction: no acknowledged change is lost."""

from __future__ import annotations

import errno

import pytest

from gladewalk.rehearsal.faulty_disk import FaultyDisk, never_fail
from gladewalk.store.errors import StoreFullError
from gladewalk.store.segmented_log import LogConfig

from .support import History, Values, fail_writes, newest_file, open_log, values_in


class CrashError(Exception):
    pass


def write_despite_a_fault(disk: FaultyDisk, fail_at: int, code: int) -> Values:
    """Writes and compacts on a disk that rejects one call; returns the acknowledged values."""
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
            continue  # the next commit writes the rejected changes as well
        acknowledged = {("s", f"k{earlier}"): bytes([earlier]) * 60 for earlier in range(number + 1)}
        try:
            if number in (7, 11):
                log.compact(sorted(log.segments)[0])
        except OSError:
            continue
    return acknowledged


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO], ids=errno.errorcode.get)
def test_an_error_of_any_call_loses_no_acknowledged_change(code: int) -> None:
    fault_free = FaultyDisk()
    assert len(write_despite_a_fault(fault_free, -1, 0)) == 14
    assert fault_free.call_count > 40
    for fail_at in range(1, fault_free.call_count + 1):
        for seed in range(3):
            disk = FaultyDisk()
            acknowledged = write_despite_a_fault(disk, fail_at, code)
            recovered = values_in(open_log(disk.after_kill() if seed == 0 else disk.after_power_loss(seed)))
            lost = {key for key, value in acknowledged.items() if recovered.get(key) != value}
            assert not lost, (fail_at, seed, lost)


def test_a_crash_at_every_step_of_a_compaction_changes_nothing(history: History) -> None:
    calls_before = history.disk.call_count
    history.log.compact(sorted(history.log.segments)[-2])
    step_count = history.disk.call_count - calls_before
    assert step_count >= 6
    for step in range(1, step_count + 1):
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
    disk_after_crash = disk.after_kill() if seed == 0 else disk.after_power_loss(seed)
    recovered = open_log(disk_after_crash)
    assert values_in(recovered) == history.final_values, (step, seed)
    recovered.compact(max(recovered.segments))
    assert values_in(open_log(disk_after_crash.after_power_loss(seed))) == history.final_values


def test_pending_changes_for_a_full_disk_are_bounded_and_written_later(disk: FaultyDisk) -> None:
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

"""The store's directory, and the commands for a store that no process has open."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest
from click.testing import CliRunner

from gladewalk.cli.commands import gladewalk
from gladewalk.store.errors import StoreLockedError
from gladewalk.store.file_system import StoreDirectory
from gladewalk.store.segmented_log import SegmentedLog

from .support import NOW_MS, SMALL, newest_file, values_in

Run = Callable[..., tuple[int, str]]
KEY_COUNT = 30


def open_directory(directory: StoreDirectory) -> SegmentedLog:
    return SegmentedLog(directory, lambda: NOW_MS, SMALL)


def test_a_directory_has_a_store_that_one_process_can_open(tmp_path: Path) -> None:
    directory = StoreDirectory(tmp_path / "store")
    log = open_directory(directory)
    for number in range(50):
        log.put("s", f"k{number % 7}", bytes([number]) * 40)
        log.commit()
    log.compact(sorted(log.segments)[-2])
    with pytest.raises(StoreLockedError, match="another process holds this store"):
        StoreDirectory(tmp_path / "store")
    directory.close()
    reopened = StoreDirectory(tmp_path / "store")
    assert values_in(open_directory(reopened)) == values_in(log)
    reopened.close()


@pytest.fixture
def run(tmp_path: Path) -> Run:
    """Runs a command on the store in `tmp_path`; returns its exit code and output."""

    def run_command(*arguments: str) -> tuple[int, str]:
        result = CliRunner().invoke(gladewalk, ["store", *arguments, str(tmp_path)])
        return result.exit_code, result.output

    return run_command


@pytest.fixture
def closed_log(tmp_path: Path, run: Run) -> SegmentedLog:
    """The log of a store in `tmp_path` that has been closed."""
    directory = StoreDirectory(tmp_path)
    log = open_directory(directory)
    for number in range(KEY_COUNT):
        log.put("s", f"k{number}", b"value" if number else b"\xff", 0.0)
        log.commit()
    assert run("check")[0] == 2  # the store is still open
    directory.close()
    return log


def test_the_commands_check_dump_and_compact(tmp_path: Path, run: Run, closed_log: SegmentedLog) -> None:
    code, text = run("check")
    assert (code, "30 keys" in text) == (0, True), text
    code, text = run("dump")
    assert (code, len(text.splitlines())) == (0, KEY_COUNT)
    assert '"hex": "ff"' in text.splitlines()[0]
    with (tmp_path / newest_file(closed_log)).open("ab") as file:
        file.write(b"cut")
    code, text = run("check")
    assert (code, "3 bytes of a write that was cut" in text) == (1, True)
    assert run("compact")[0] == 0
    assert (run("check")[0], len(run("dump")[1].splitlines())) == (0, KEY_COUNT)


def test_a_damaged_store_is_repaired_only_when_its_loss_is_accepted(
    tmp_path: Path, run: Run, closed_log: SegmentedLog
) -> None:
    assert run("compact")[0] == 0
    damaged_file = next(tmp_path.glob("*.c.seg"))
    data = bytearray(damaged_file.read_bytes())
    data[len(data) // 2] ^= 0xFF
    damaged_file.write_bytes(bytes(data))
    code, text = run("check")
    assert (code, f"damaged: {damaged_file.name}: at byte" in text) == (2, True)
    assert run("dump")[0] == 2
    code, text = run("repair")
    assert (code, "29 keys" in text, "nothing was changed" in text) == (1, True, True), text
    assert run("check")[0] == 2
    assert run("repair", "--accept-loss")[0] == 1
    assert (run("check")[0], len(run("dump")[1].splitlines())) == (0, KEY_COUNT - 1)
    assert (tmp_path / "damaged-0" / damaged_file.name).exists()

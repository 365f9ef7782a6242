"""Offline maintenance of a store that no process has open: check, dump, compact and repair.

Each call locks the directory and raises `StoreLockedError` while a director has the store open. `report` is
called with each line of output for the operator.
"""

from __future__ import annotations

import contextlib
import json
import time
from collections.abc import Callable, Iterator
from enum import IntEnum
from pathlib import Path

from .errors import StoreFileError
from .file_system import StoreDirectory
from .key_index import IndexEntry
from .recovery import SEGMENT_FILE, RecoveredStore, describe_header, recover_store, salvage_records
from .segmented_log import SegmentedLog

MAX_SALVAGE_DIRECTORIES = 1_000
Report = Callable[[str], None]


class ExitCode(IntEnum):
    """Exit codes of the commands."""

    OK = 0
    FINDINGS = 1
    UNUSABLE = 2


def wall_clock_ms() -> float:
    """Returns the Unix time in milliseconds."""
    return time.time() * 1000.0


def check_store(path: Path, report: Report) -> ExitCode:
    """Reports each file; `FINDINGS` means a torn write, `UNUSABLE` that an acknowledged record is lost."""
    with contextlib.closing(StoreDirectory(path)) as directory:
        try:
            files = _read_files(directory)
            for name in sorted(files):
                report(f"{name}: {len(files[name])} bytes, {_describe_file(name, files[name])}")
            found = recover_store(files)
        except StoreFileError as error:
            report(f"damaged: {error}")
            return ExitCode.UNUSABLE
    for tail in found.dropped:
        loss = f"{tail.size_bytes} bytes of a write that was cut, never acknowledged"
        report(f"{tail.file}: at byte {tail.offset}: {loss}")
    report(f"{_summarize(found)}; up to sequence {found.index.last_sequence}")
    return ExitCode.FINDINGS if found.dropped else ExitCode.OK


def _read_files(directory: StoreDirectory) -> dict[str, bytes]:
    return {name: directory.read(name) for name in directory.list_names()}


def _describe_file(name: str, data: bytes) -> str:
    if not SEGMENT_FILE.match(name):
        return "not a segment: left over"
    try:
        return describe_header(data, name)
    except StoreFileError as error:
        return error.reason


def _summarize(found: RecoveredStore) -> str:
    total_bytes = sum(segment.size_bytes for segment in found.segments.values())
    return f"{len(found.index.value_entries())} keys in {len(found.segments)} segments of {total_bytes} bytes"


def dump_store(path: Path) -> Iterator[str]:
    """Yields each key as one JSON object; a value that isn't UTF-8 is in hexadecimal.

    Raises the errors of `recover_store`.
    """
    with contextlib.closing(StoreDirectory(path)) as directory:
        found = recover_store(_read_files(directory))
    for _, entry in sorted(found.index.entries.items(), key=lambda key_and_entry: key_and_entry[0]):
        if not entry.is_deleted:
            yield json.dumps(_dump_row(entry))


def _dump_row(entry: IndexEntry) -> dict[str, object]:
    key_value = entry.key_value
    row: dict[str, object] = {"space": key_value.space, "key": key_value.key, "sequence": entry.sequence}
    if key_value.expires_at_ms:
        row["until_ms"] = key_value.expires_at_ms
    try:
        row["value"] = key_value.value.decode("utf-8")
    except UnicodeDecodeError:
        row["hex"] = key_value.value.hex()
    return row


def compact_store(path: Path, report: Report) -> ExitCode:
    """Rewrites all segments into one; returns `UNUSABLE` for a damaged store."""
    with contextlib.closing(StoreDirectory(path)) as directory:
        try:
            log = SegmentedLog(directory, wall_clock_ms)
            bytes_before = log.total_bytes
            if log.segments:
                log.index.drop_expired(wall_clock_ms())
                log.compact(max(log.segments))
        except StoreFileError as error:
            report(f"damaged: {error}")
            return ExitCode.UNUSABLE
        report(f"{bytes_before} bytes before, {log.total_bytes} now")
    return ExitCode.OK


def repair_store(path: Path, is_loss_accepted: bool, report: Report) -> ExitCode:
    """Reports the readable part of a damaged store; if `is_loss_accepted`, makes a new store of it.

    The old files are moved into a directory within the store's directory.
    """
    with contextlib.closing(StoreDirectory(path)) as directory:
        files = _read_files(directory)
        try:
            recover_store(files)
        except StoreFileError as error:
            report(f"damaged: {error}")
        else:
            report("nothing to repair")
            return ExitCode.OK
        salvaged = salvage_records(files)
        for loss in salvaged.losses:
            report(loss)
        entries = salvaged.index.value_entries()
        consequence = "a key whose last record is lost has an older value"
        report(f"{salvaged.record_count} whole records, {len(entries)} keys; {consequence}")
        if not is_loss_accepted:
            report("nothing was changed; --accept-loss makes a store of what is left")
            return ExitCode.FINDINGS
        damaged_directory = _move_to_damaged_directory(directory, list(files))
        _write_entries(directory, entries)
        report(f"a store of {len(entries)} keys; the old files are in {damaged_directory}")
        return ExitCode.FINDINGS


def _move_to_damaged_directory(directory: StoreDirectory, names: list[str]) -> Path:
    """Moves files into the first `damaged-N` directory that doesn't exist yet, and returns its path."""
    candidates = (directory.path / f"damaged-{number}" for number in range(MAX_SALVAGE_DIRECTORIES))
    target = next(candidate for candidate in candidates if not candidate.exists())
    target.mkdir()
    for name in names:
        (directory.path / name).rename(target / name)
    directory.sync_directory()
    return target


def _write_entries(directory: StoreDirectory, entries: list[IndexEntry]) -> None:
    """Writes each entry in a commit of its own: the limit on pending bytes doesn't limit their number."""
    log = SegmentedLog(directory, wall_clock_ms)
    for entry in entries:
        key_value = entry.key_value
        log.put(key_value.space, key_value.key, key_value.value, key_value.expires_at_ms)
        log.commit()

"""Helpers of the store's tests: a fixed clock, small segments, a store with a history, async tests."""

from __future__ import annotations

import asyncio
import functools
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, ParamSpec

from gladewalk.rehearsal.faulty_disk import FaultyDisk, FaultyFile
from gladewalk.store.segmented_log import LogConfig, SegmentedLog

NOW_MS = 1_000_000.0
SMALL = LogConfig(max_segment_bytes=600, max_total_bytes=100_000)
Values = dict[tuple[str, str], bytes]
Parameters = ParamSpec("Parameters")


def async_test(test: Callable[Parameters, Coroutine[Any, Any, None]]) -> Callable[Parameters, None]:
    """Runs a test on an event loop of its own, in asyncio's debug mode."""

    @functools.wraps(test)
    def run(*args: Parameters.args, **kwargs: Parameters.kwargs) -> None:
        asyncio.run(test(*args, **kwargs), debug=True)

    return run


def open_log(disk: FaultyDisk, config: LogConfig = SMALL) -> SegmentedLog:
    return SegmentedLog(disk, lambda: NOW_MS, config)


def values_in(log: SegmentedLog) -> Values:
    spaces = {space for space, _ in log.index.entries}
    return {(space, key): value for space in spaces for key, value in log.items(space).items()}


def files_of(disk: FaultyDisk) -> dict[str, bytes]:
    return {name: bytes(file.data) for name, file in disk.files.items()}


def disk_with(files: dict[str, bytes]) -> FaultyDisk:
    """Returns a disk on which all of these files are durable."""
    disk = FaultyDisk()
    disk.files = {name: FaultyFile(bytearray(data), data) for name, data in files.items()}
    disk.durable_names = dict(disk.files)
    return disk


def newest_file(log: SegmentedLog) -> str:
    return log.segments[max(log.segments)].file


def fail_writes(code: int) -> Callable[[str, str, int], int]:
    """Returns a fault rule: no file can be created or appended to."""
    return lambda operation, name, number: code if operation in ("append", "create") else 0


@dataclass
class History:
    """A store with every kind of record, several segments and a compaction."""

    disk: FaultyDisk = field(default_factory=FaultyDisk)
    # Each acknowledged sequence number, and the values after it.
    acknowledged: list[tuple[int, Values]] = field(default_factory=lambda: [(0, {})])

    def __post_init__(self) -> None:
        self.log = open_log(self.disk)
        rng = random.Random(3)
        for number in range(40):
            self.log.put("purge", f"k{number % 9}", bytes([number]) * rng.randrange(1, 30))
            if number % 5 == 0:
                self.log.delete("purge", f"k{(number + 4) % 9}")
            if number % 7 == 0:
                expires_at_ms = NOW_MS - 1.0 if number % 2 else NOW_MS + 5.0
                self.log.put("lease", f"l{number}", b"x", expires_at_ms)
            self.acknowledged.append((self.log.commit(), values_in(self.log)))
            if number == 25:
                self.log.compact(sorted(self.log.segments)[2])

    @property
    def final_values(self) -> Values:
        return self.acknowledged[-1][1]

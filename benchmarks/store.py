"""The store beside SQLite (WAL, FULL) and LMDB on the same disk in one run; recovery, memory, amplification.

    python -m benchmarks.store [--writes 3000] [--open 1,16] [--records 10000,100000,1000000] [--folder DIR]

Measures acknowledged writes a second, with so many writers waiting for theirs at a time, and p50 and p99 of
a wait: for each sync policy of ours, and for the others with a sync at each commit; a commit of theirs takes
all that waits, as ours does. The engines take turns, twice. Then, in a process of its own for each size, how
long recovery takes and how much memory it needs. Values have 100 bytes. The folder should lie on the disk
that counts.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import resource
import sqlite3
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import lmdb

from gladewalk.core.counters import Counters
from gladewalk.store.file_system import StoreDirectory
from gladewalk.store.maintenance import wall_clock_ms
from gladewalk.store.segmented_log import LogConfig, SegmentedLog
from gladewalk.store.writer import StoreWriter, SyncPolicy

VALUE = bytes(100)
KEY_COUNT = 5_000
KEY_STRIDE = 7_919  # a prime, so that keys are written in no order
GROUP_MS = 2.0
ROUNDS = 2
RECOVERY_SEGMENT_BYTES = 16 * 1024 * 1024
RECORDS_PER_COMMIT = 10_000
POLICIES: tuple[SyncPolicy, ...] = ("each", "group", "none")
Commit = Callable[[list[str]], None]
Put = Callable[[str], asyncio.Future[bool]]


@dataclass(slots=True, frozen=True)
class Measurement:
    """One engine's turn: each write's wait, ascending, the whole time, and bytes written per byte given."""

    waits_ms: list[float]
    seconds: float
    amplification: float = 0.0  # 0: not measured

    def quantile_ms(self, part: float) -> float:
        """A quantile of the waits; `part` is under 1."""
        return self.waits_ms[int(len(self.waits_ms) * part)]


def open_sqlite(directory: Path) -> Commit:
    """A commit function of SQLite, which syncs its write-ahead log."""
    base = sqlite3.connect(directory / "base.db", isolation_level=None, check_same_thread=False)
    base.execute("PRAGMA journal_mode=WAL")
    base.execute("PRAGMA synchronous=FULL")
    base.execute("CREATE TABLE IF NOT EXISTS held (key TEXT PRIMARY KEY, value BLOB)")

    def commit(keys: list[str]) -> None:
        base.execute("BEGIN")
        base.executemany("INSERT OR REPLACE INTO held VALUES (?, ?)", [(key, VALUE) for key in keys])
        base.execute("COMMIT")

    return commit


def open_lmdb(directory: Path) -> Commit:
    """A commit function of LMDB."""
    base = lmdb.open(str(directory), map_size=1 << 30)

    def commit(keys: list[str]) -> None:
        with base.begin(write=True) as transaction:
            for key in keys:
                transaction.put(key.encode(), VALUE)

    return commit


OTHER_ENGINES: dict[str, Callable[[Path], Commit]] = {"sqlite": open_sqlite, "lmdb": open_lmdb}


class GroupCommit:
    """Another engine behind a thread as ours has it: a commit takes all that waits."""

    def __init__(self, commit: Commit) -> None:
        self._commit = commit
        self._waiting: list[tuple[str, asyncio.Future[bool]]] = []
        self._wake = asyncio.Event()
        self.task = asyncio.get_running_loop().create_task(self._run())

    def put(self, key: str) -> asyncio.Future[bool]:
        """Writes a value; the future is done once it is committed."""
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting.append((key, future))
        self._wake.set()
        return future

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            batch, self._waiting = self._waiting, []
            if batch:
                await asyncio.to_thread(self._commit, [key for key, _ in batch])
            for _, future in batch:
                future.set_result(True)


async def measure(put: Put, writes: int, writers: int) -> tuple[list[float], float]:
    """Each write's wait in milliseconds, ascending, and the whole time in seconds."""
    waits_ms: list[float] = []
    remaining = iter(range(writes))

    async def write() -> None:
        for number in remaining:
            began = time.perf_counter()
            await put(f"k{number * KEY_STRIDE % KEY_COUNT}")
            waits_ms.append((time.perf_counter() - began) * 1_000.0)

    began = time.perf_counter()
    await asyncio.gather(*(write() for _ in range(writers)))
    seconds = time.perf_counter() - began
    waits_ms.sort()
    return waits_ms, seconds


async def measure_other(engine: str, directory: Path, writes: int, writers: int) -> Measurement:
    """One turn of SQLite or LMDB."""
    grouped = GroupCommit(OTHER_ENGINES[engine](directory))
    waits_ms, seconds = await measure(grouped.put, writes, writers)
    grouped.task.cancel()
    return Measurement(waits_ms, seconds)


async def measure_ours(policy: SyncPolicy, directory: Path, writes: int, writers: int) -> Measurement:
    """One turn of our store."""
    disk = StoreDirectory(directory)
    log = SegmentedLog(disk, wall_clock_ms)
    writer = StoreWriter(log, policy, GROUP_MS, Counters(), lambda event, why: None)
    writer.start()
    waits_ms, seconds = await measure(lambda key: writer.put("s", key, VALUE), writes, writers)
    await writer.close()
    disk.close()
    return Measurement(waits_ms, seconds, log.written_bytes / (writes * len(VALUE)))


def measure_all(writes: int, writers: int, place: str | None) -> dict[str, list[Measurement]]:
    """All engines in turn, each `ROUNDS` times, each time in an empty directory below `place`."""
    results: dict[str, list[Measurement]] = {}
    for _ in range(ROUNDS):
        for policy in POLICIES:
            with tempfile.TemporaryDirectory(dir=place) as directory:
                ours = asyncio.run(measure_ours(policy, Path(directory), writes, writers))
                results.setdefault(policy, []).append(ours)
        for engine in OTHER_ENGINES:
            with tempfile.TemporaryDirectory(dir=place) as directory:
                other = asyncio.run(measure_other(engine, Path(directory), writes, writers))
                results.setdefault(engine, []).append(other)
    return results


def print_writes(writes: int, levels: list[int], place: str | None) -> None:
    """Prints the table of writes."""
    print("open  engine  writes/s  p50 ms  p99 ms  bytes written for each of a value")
    for writers in levels:
        for engine, runs in measure_all(writes, writers, place).items():
            rate = statistics.mean(writes / run.seconds for run in runs)
            p50_ms = statistics.mean(run.quantile_ms(0.5) for run in runs)
            p99_ms = statistics.mean(run.quantile_ms(0.99) for run in runs)
            amplification = f"{runs[0].amplification:8.2f}" if runs[0].amplification else ""
            row = f"{writers:4}  {engine:6}  {rate:8.0f}  {p50_ms:6.2f}  {p99_ms:6.2f}  {amplification}"
            print(row, flush=True)


RECOVERY_PROGRAM = """
import resource, sys, time
from pathlib import Path
from gladewalk.store.file_system import StoreDirectory
from gladewalk.store.segmented_log import SegmentedLog
before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
began = time.perf_counter()
log = SegmentedLog(StoreDirectory(Path(sys.argv[1])), lambda: 0.0)
seconds = time.perf_counter() - began
assert len(log.index.entries) == int(sys.argv[2])
print(seconds, (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1024)
"""


def write_store(directory: Path, record_count: int) -> int:
    """Writes a store of so many records; its size in bytes."""
    disk = StoreDirectory(directory)
    log = SegmentedLog(disk, wall_clock_ms, LogConfig(RECOVERY_SEGMENT_BYTES, max_total_bytes=1 << 40))
    for number in range(record_count):
        log.put("s", f"k{number}", VALUE)
        if number % RECORDS_PER_COMMIT == RECORDS_PER_COMMIT - 1:
            log.commit()
    log.commit()
    disk.close()
    return log.total_bytes


def print_recovery(record_counts: list[int], place: str | None) -> None:
    """Prints the table of recovery."""
    print("records  recovery s  MB held at the most  bytes on disk")
    for count in record_counts:
        with tempfile.TemporaryDirectory(dir=place) as directory:
            total_bytes = write_store(Path(directory), count)
            command = [sys.executable, "-c", RECOVERY_PROGRAM, directory, str(count)]
            output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
            seconds, megabytes = map(float, output.split())
            print(f"{count:7}  {seconds:10.3f}  {megabytes:19.1f}  {total_bytes:13}", flush=True)


def main() -> int:
    """Parses the command line and runs the benchmark; its exit code."""
    parser = argparse.ArgumentParser(description="The store beside others.")
    parser.add_argument("--writes", type=int, default=3_000)
    parser.add_argument("--open", default="1,16")
    parser.add_argument("--records", default="10000,100000,1000000")
    parser.add_argument("--folder")
    arguments = parser.parse_args()
    logging.disable(logging.CRITICAL)
    levels = [int(level) for level in arguments.open.split(",")]
    print_writes(arguments.writes, levels, arguments.folder)
    print_recovery([int(count) for count in arguments.records.split(",")], arguments.folder)
    print(f"this process held {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MB at the most")
    return 0


if __name__ == "__main__":
    sys.exit(main())

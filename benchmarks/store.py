"""The store compared with SQLite (WAL, FULL) and LMDB on the same disk; recovery, memory, amplification.

    python -m benchmarks.store [--writes 3000] [--open 1,16] [--records 10000,100000,1000000] [--folder DIR]

Measures acknowledged writes a second, and p50 and p99 of the time until a write is acknowledged, for each
number of concurrent writers in `--open`. Our store runs with each of its sync policies, and the other engines
sync at each commit. With all of them, a commit includes all waiting writes. The engines are measured in turn,
twice. Then a separate process for each number of records measures the time and memory of recovery. Values
have 100 bytes. The folder should be on the disk that is to be measured.
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
    """One measurement of an engine: sorted write latencies, total time, and bytes written per value byte."""

    waits_ms: list[float]
    seconds: float
    amplification: float = 0.0  # 0: not measured

    def quantile_ms(self, part: float) -> float:
        """Returns a quantile of the latencies; `part` is under 1."""
        return self.waits_ms[int(len(self.waits_ms) * part)]


def open_sqlite(directory: Path) -> Commit:
    """Returns a commit function of SQLite, which syncs its write-ahead log."""
    database = sqlite3.connect(directory / "base.db", isolation_level=None, check_same_thread=False)
    database.execute("PRAGMA journal_mode=WAL")
    database.execute("PRAGMA synchronous=FULL")
    database.execute("CREATE TABLE IF NOT EXISTS held (key TEXT PRIMARY KEY, value BLOB)")

    def commit(keys: list[str]) -> None:
        database.execute("BEGIN")
        database.executemany("INSERT OR REPLACE INTO held VALUES (?, ?)", [(key, VALUE) for key in keys])
        database.execute("COMMIT")

    return commit


def open_lmdb(directory: Path) -> Commit:
    """Returns a commit function of LMDB."""
    database = lmdb.open(str(directory), map_size=1 << 30)

    def commit(keys: list[str]) -> None:
        with database.begin(write=True) as transaction:
            for key in keys:
                transaction.put(key.encode(), VALUE)

    return commit


OTHER_ENGINES: dict[str, Callable[[Path], Commit]] = {"sqlite": open_sqlite, "lmdb": open_lmdb}


class GroupCommit:
    """Another engine with a writer thread as in our store: a commit includes all waiting writes."""

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
    """Returns the sorted latencies of the writes in milliseconds, and the total time in seconds."""
    waits_ms: list[float] = []
    remaining = iter(range(writes))

    async def write() -> None:
        for number in remaining:
            started = time.perf_counter()
            await put(f"k{number * KEY_STRIDE % KEY_COUNT}")
            waits_ms.append((time.perf_counter() - started) * 1_000.0)

    started = time.perf_counter()
    await asyncio.gather(*(write() for _ in range(writers)))
    seconds = time.perf_counter() - started
    waits_ms.sort()
    return waits_ms, seconds


async def measure_other(engine: str, directory: Path, writes: int, writers: int) -> Measurement:
    """Measures SQLite or LMDB once."""
    grouped = GroupCommit(OTHER_ENGINES[engine](directory))
    waits_ms, seconds = await measure(grouped.put, writes, writers)
    grouped.task.cancel()
    return Measurement(waits_ms, seconds)


async def measure_ours(policy: SyncPolicy, directory: Path, writes: int, writers: int) -> Measurement:
    """Measures our store once."""
    disk = StoreDirectory(directory)
    log = SegmentedLog(disk, wall_clock_ms)
    writer = StoreWriter(log, policy, GROUP_MS, Counters(), lambda event, why: None)
    writer.start()
    waits_ms, seconds = await measure(lambda key: writer.put("s", key, VALUE), writes, writers)
    await writer.close()
    disk.close()
    return Measurement(waits_ms, seconds, log.written_bytes / (writes * len(VALUE)))


def measure_all(writes: int, writers: int, parent_directory: str | None) -> dict[str, list[Measurement]]:
    """Measures all engines in turn, `ROUNDS` times, each in an empty directory below `parent_directory`."""
    results: dict[str, list[Measurement]] = {}
    for _ in range(ROUNDS):
        for policy in POLICIES:
            with tempfile.TemporaryDirectory(dir=parent_directory) as directory:
                ours = asyncio.run(measure_ours(policy, Path(directory), writes, writers))
                results.setdefault(policy, []).append(ours)
        for engine in OTHER_ENGINES:
            with tempfile.TemporaryDirectory(dir=parent_directory) as directory:
                other = asyncio.run(measure_other(engine, Path(directory), writes, writers))
                results.setdefault(engine, []).append(other)
    return results


def print_writes(writes: int, levels: list[int], parent_directory: str | None) -> None:
    """Prints the table of writes."""
    print("open  engine  writes/s  p50 ms  p99 ms  bytes written for each of a value")
    for writers in levels:
        for engine, runs in measure_all(writes, writers, parent_directory).items():
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
    """Writes a store with this number of records; returns its size in bytes."""
    disk = StoreDirectory(directory)
    log = SegmentedLog(disk, wall_clock_ms, LogConfig(RECOVERY_SEGMENT_BYTES, max_total_bytes=1 << 40))
    for number in range(record_count):
        log.put("s", f"k{number}", VALUE)
        if number % RECORDS_PER_COMMIT == RECORDS_PER_COMMIT - 1:
            log.commit()
    log.commit()
    disk.close()
    return log.total_bytes


def print_recovery(record_counts: list[int], parent_directory: str | None) -> None:
    """Prints the table of recovery."""
    print("records  recovery s       peak memory MB  bytes on disk")
    for count in record_counts:
        with tempfile.TemporaryDirectory(dir=parent_directory) as directory:
            total_bytes = write_store(Path(directory), count)
            command = [sys.executable, "-c", RECOVERY_PROGRAM, directory, str(count)]
            output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
            seconds, megabytes = map(float, output.split())
            print(f"{count:7}  {seconds:10.3f}  {megabytes:19.1f}  {total_bytes:13}", flush=True)


def main() -> int:
    """Runs the benchmark; returns the exit code."""
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

"""The store beside SQLite (WAL, FULL) and LMDB on the same disk in one run; recovery, memory, amplification.

    python -m benchmarks.store [--writes 3000] [--open 1,16] [--records 10000,100000,1000000] [--folder DIR]

Acknowledged writes a second, with so many writers waiting for theirs at a time, and p50 and p99 of a wait:
for each policy of ours, and for the others with a sync at each commit; a commit of theirs takes what waits,
as ours does. The engines take turns, twice. Then, in a process of its own for each size, how long recovery
takes and what it holds. Values have 100 bytes. The folder should lie on the disk that counts.
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
from pathlib import Path

import lmdb

from gladewalk.core.counters import Counters
from gladewalk.store.file_system import StoreDirectory
from gladewalk.store.maintenance import wall_clock_ms
from gladewalk.store.segmented_log import LogConfig, SegmentedLog
from gladewalk.store.writer import StoreWriter

VALUE = bytes(100)
KEYS = 5_000
Commit = Callable[[list[str]], None]


def sqlite_at(folder: Path) -> Commit:
    base = sqlite3.connect(folder / "base.db", isolation_level=None, check_same_thread=False)
    base.execute("PRAGMA journal_mode=WAL")
    base.execute("PRAGMA synchronous=FULL")
    base.execute("CREATE TABLE IF NOT EXISTS held (key TEXT PRIMARY KEY, value BLOB)")

    def commit(keys: list[str]) -> None:
        base.execute("BEGIN")
        base.executemany("INSERT OR REPLACE INTO held VALUES (?, ?)", [(key, VALUE) for key in keys])
        base.execute("COMMIT")

    return commit


def lmdb_at(folder: Path) -> Commit:
    base = lmdb.open(str(folder), map_size=1 << 30)

    def commit(keys: list[str]) -> None:
        with base.begin(write=True) as change:
            for key in keys:
                change.put(key.encode(), VALUE)

    return commit


class Grouped:
    """Another engine behind the same kind of thread: a commit takes all that waits."""

    def __init__(self, commit: Commit) -> None:
        self.commit = commit
        self.waiting: list[tuple[str, asyncio.Future[bool]]] = []
        self.wake = asyncio.Event()
        self.task = asyncio.get_running_loop().create_task(self._run())

    def put(self, key: str) -> asyncio.Future[bool]:
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.waiting.append((key, future))
        self.wake.set()
        return future

    async def _run(self) -> None:
        while True:
            await self.wake.wait()
            self.wake.clear()
            batch, self.waiting = self.waiting, []
            if batch:
                await asyncio.to_thread(self.commit, [key for key, _ in batch])
            for _, future in batch:
                future.set_result(True)


async def measure(put: Callable[[str], asyncio.Future[bool]], writes: int, open_: int) -> list[float]:
    """How long each write waited for its acknowledgement, in ms; the last is the whole time in s."""
    waits: list[float] = []
    left = iter(range(writes))

    async def writer() -> None:
        for n in left:
            began = time.perf_counter()
            await put(f"k{n * 7919 % KEYS}")
            waits.append((time.perf_counter() - began) * 1_000.0)

    began = time.perf_counter()
    await asyncio.gather(*(writer() for _ in range(open_)))
    spent = time.perf_counter() - began
    waits.sort()
    return [*waits, spent]


async def play(kind: str, folder: Path, writes: int, open_: int) -> tuple[list[float], float]:
    """One engine's turn, and how many bytes it wrote for each of what it was given."""
    if kind in ("sqlite", "lmdb"):
        grouped = Grouped(sqlite_at(folder) if kind == "sqlite" else lmdb_at(folder))
        found = await measure(grouped.put, writes, open_)
        grouped.task.cancel()
        return found, 0.0
    disk = StoreDirectory(folder)
    log = SegmentedLog(disk, wall_clock_ms, LogConfig())
    writer = StoreWriter(log, kind, 2.0, Counters(), lambda what, why: None)  # type: ignore[arg-type]
    writer.start()
    found = await measure(lambda key: writer.put("s", key, VALUE), writes, open_)
    await writer.close()
    disk.close()
    return found, log.written_bytes / (writes * len(VALUE))


def writes_table(writes: int, levels: list[int], place: str | None) -> None:
    print("open  engine  writes/s  p50 ms  p99 ms  bytes written for each of a value")
    for level in levels:
        rows: dict[str, list[tuple[list[float], float]]] = {}
        for _ in range(2):
            for kind in ("each", "group", "none", "sqlite", "lmdb"):
                with tempfile.TemporaryDirectory(dir=place) as folder:
                    rows.setdefault(kind, []).append(asyncio.run(play(kind, Path(folder), writes, level)))
        for kind, runs in rows.items():
            rate = statistics.mean(writes / found[-1] for found, _ in runs)
            p50 = statistics.mean(found[len(found) // 2] for found, _ in runs)
            p99 = statistics.mean(found[int((len(found) - 1) * 0.99)] for found, _ in runs)
            more = f"{runs[0][1]:8.2f}" if runs[0][1] else ""
            print(f"{level:4}  {kind:6}  {rate:8.0f}  {p50:6.2f}  {p99:6.2f}  {more}", flush=True)


RECOVER = """
import resource, sys, time
from pathlib import Path
from gladewalk.store.file_system import StoreDirectory
from gladewalk.store.segmented_log import SegmentedLog
before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
began = time.perf_counter()
log = SegmentedLog(StoreDirectory(Path(sys.argv[1])), lambda: 0.0)
spent = time.perf_counter() - began
assert len(log.index.entries) == int(sys.argv[2])
print(spent, (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1024)
"""


def recovery_table(sizes: list[int], place: str | None) -> None:
    print("records  recovery s  MB held at the most  bytes on disk")
    for size in sizes:
        with tempfile.TemporaryDirectory(dir=place) as folder:
            disk = StoreDirectory(Path(folder))
            log = SegmentedLog(
                disk, wall_clock_ms, LogConfig(max_segment_bytes=16 * 1024 * 1024, max_total_bytes=1 << 40)
            )
            for n in range(size):
                log.put("s", f"k{n}", VALUE)
                if n % 10_000 == 9_999:
                    log.commit()
            log.commit()
            disk.close()
            words = [sys.executable, "-c", RECOVER, folder, str(size)]
            spent, held = subprocess.run(words, capture_output=True, text=True, check=True).stdout.split()
            print(f"{size:7}  {float(spent):10.3f}  {float(held):19.1f}  {log.total_bytes:13}", flush=True)


def main() -> int:
    parser = argparse.ArgumentParser(description="The store beside others.")
    parser.add_argument("--writes", type=int, default=3_000)
    parser.add_argument("--open", default="1,16")
    parser.add_argument("--records", default="10000,100000,1000000")
    parser.add_argument("--folder")
    given = parser.parse_args()
    logging.disable(logging.CRITICAL)
    writes_table(given.writes, [int(level) for level in given.open.split(",")], given.folder)
    recovery_table([int(size) for size in given.records.split(",")], given.folder)
    print(f"this process held {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MB at the most")
    return 0


if __name__ == "__main__":
    sys.exit(main())

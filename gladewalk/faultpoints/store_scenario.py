"""The embedded store at its points: puts, deletes, rollovers, compactions, and a start after each fault."""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from typing import Any

from ..rehearsal.faulty_disk import FaultyDisk
from ..store.segmented_log import LogConfig, SegmentedLog
from .points import Kind, Points

STEPS = 18
TERMS = LogConfig(max_segment_bytes=220, max_total_bytes=700)


class Killed(Exception):
    """The process is gone; the kind says what becomes of its disk."""

    def __init__(self, kind: Kind) -> None:
        super().__init__(kind.value)
        self.kind = kind


class Run:
    """One store, what was put to it, and what of that was acknowledged."""

    def __init__(self, points: Points, log: Callable[..., Any] = SegmentedLog) -> None:
        self.points, self.log_type = points, log
        self.disk = FaultyDisk()
        self.history: list[dict[str, bytes]] = [{}]  # what held after each put or delete
        self.acknowledged = 0  # how much of the history is promised
        self.base = 0  # the log's sequence at the history's begin

    def fail(self, call: str, name: str, number: int) -> int:
        kind = self.points.reach(f"store.disk.{call}")
        if kind in (Kind.KILL, Kind.POWER):
            raise Killed(kind)
        return errno.EIO if kind is Kind.REFUSE else 0

    def restarted(self, kind: Kind) -> None:
        self.disk = self.disk.after_kill() if kind is Kind.KILL else self.disk.after_power_loss(7)

    def started(self) -> SegmentedLog:
        """A start, over a fault in the middle of it if that is where it is put."""
        for _ in range(4):
            try:
                if (kind := self.points.reach("store.start.recover")) is not None:
                    raise Killed(kind)
                self.disk.fault_rule = self.fail
                log: SegmentedLog = self.log_type(self.disk, lambda: 0.0, TERMS)
                return log
            except Killed as killed:
                self.restarted(killed.kind)
            except OSError:
                continue  # a start that the disk refused is tried again
        raise AssertionError("it never starts")

    def check(self, log: SegmentedLog) -> str:
        """What is held is what held after some put, the last that was acknowledged or a later one."""
        held = log.items("s")
        for sequence in range(len(self.history) - 1, self.acknowledged - 1, -1):
            if self.history[sequence] == held:
                del self.history[sequence + 1 :]  # what never lasted was never there
                self.base = log.index.last_sequence - sequence
                return ""
        return f"acknowledged {self.acknowledged} of {len(self.history) - 1}, found {sorted(held)}"

    def step(self, log: SegmentedLog, n: int, draw: random.Random) -> None:
        key, now = f"k{draw.randrange(5)}", dict(self.history[-1])
        if draw.random() < 0.25 and key in now:
            log.delete("s", key)
            del now[key]
        else:
            now[key] = bytes([n]) * draw.randrange(10, 60)
            log.put("s", key, now[key])
        self.history.append(now)
        self.acknowledged = max(self.acknowledged, log.commit() - self.base)
        if (upto := log.choose_compaction()) is not None:
            log.compact(upto)


def play(points: Points, log_type: Callable[..., Any] = SegmentedLog) -> str:
    run, draw = Run(points, log_type), random.Random(5)
    log = run.started()
    for n in range(STEPS):
        try:
            if n == STEPS // 2:  # a start in the middle of it, behind a record that was half written
                run.disk.files[max(run.disk.files)].data += b"half of a record"
                run.restarted(Kind.KILL)
                log = run.started()
                if why := run.check(log):
                    return why
            run.step(log, n, draw)
        except OSError:
            pass  # what was refused waits, and is written with the next
        except Killed as killed:
            run.restarted(killed.kind)
            log = run.started()
            if why := run.check(log):
                return why
    points.counting = False
    run.restarted(Kind.KILL)
    return run.check(run.started())

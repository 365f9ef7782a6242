"""Fault points of the store: changes over several segments, compactions, and a start after each fault."""

from __future__ import annotations

import contextlib
import errno
import random
from collections.abc import Callable
from typing import Any

from ..errors import GladewalkError
from ..rehearsal.faulty_disk import FaultyDisk
from ..store.segmented_log import LogConfig, SegmentedLog
from .points import FaultInjector, FaultKind

STEP_COUNT = 18
MAX_START_ATTEMPTS = 4
CONFIG = LogConfig(max_segment_bytes=220, max_total_bytes=700)
SPACE = "s"
KEY_COUNT = 5
DELETE_PROBABILITY = 0.25
SEED, POWER_LOSS_SEED = 5, 7
TORN_RECORD = b"half of a record"

LogType = Callable[..., Any]  # returns a `SegmentedLog`, or a copy of it with a fault


class ProcessKilledError(GladewalkError):
    """The process was killed; the kind determines the content of its disk afterwards."""

    def __init__(self, kind: FaultKind) -> None:
        super().__init__(kind.value)
        self.kind = kind


class StoreRun:
    """One store, the changes made to it, and how many of them were acknowledged."""

    def __init__(self, injector: FaultInjector, log_type: LogType = SegmentedLog) -> None:
        self.disk = FaultyDisk()
        self._injector, self._log_type = injector, log_type
        self._history: list[dict[str, bytes]] = [{}]  # the values after each change
        self._acknowledged = 0  # index into the history: the changes up to it are acknowledged
        self._first_sequence = 0  # the sequence number of the log at the history's start

    def _fault_rule(self, operation: str, name: str, number: int) -> int:
        kind = self._injector.record_pass(f"store.disk.{operation}")
        if kind in (FaultKind.KILL, FaultKind.POWER_LOSS):
            raise ProcessKilledError(kind)
        return errno.EIO if kind is FaultKind.REJECT else 0

    def restart(self, kind: FaultKind) -> None:
        """Replaces the disk by its content after a kill or a power loss."""
        is_killed = kind is FaultKind.KILL
        self.disk = self.disk.after_kill() if is_killed else self.disk.after_power_loss(POWER_LOSS_SEED)

    def tear_newest_file(self) -> None:
        """Appends a torn record, as a kill during an append would."""
        self.disk.files[max(self.disk.files)].data += TORN_RECORD

    def start(self) -> SegmentedLog:
        """Opens the store, and opens it again if a fault interrupts that."""
        for _ in range(MAX_START_ATTEMPTS):
            try:
                return self._open()
            except ProcessKilledError as killed:
                self.restart(killed.kind)
            except OSError:  # the disk rejected a call: the start is repeated
                continue
        raise AssertionError("the store does not start")

    def _open(self) -> SegmentedLog:
        kind = self._injector.record_pass("store.start.recover")
        if kind is not None:
            raise ProcessKilledError(kind)
        self.disk.fault_rule = self._fault_rule
        log: SegmentedLog = self._log_type(self.disk, lambda: 0.0, CONFIG)
        return log

    def check(self, log: SegmentedLog) -> str:
        """Returns a violation unless the values are those after the last acknowledged or a later change."""
        values = log.items(SPACE)
        for index in range(len(self._history) - 1, self._acknowledged - 1, -1):
            if self._history[index] == values:
                del self._history[index + 1 :]  # later changes were lost: they are as if never made
                self._first_sequence = log.index.last_sequence - index
                return ""
        return f"acknowledged {self._acknowledged} of {len(self._history) - 1}, found {sorted(values)}"

    def step(self, log: SegmentedLog, number: int, rng: random.Random) -> None:
        """Makes a randomly drawn change, commits it, and compacts if the policy requires it."""
        key, values = f"k{rng.randrange(KEY_COUNT)}", dict(self._history[-1])
        if rng.random() < DELETE_PROBABILITY and key in values:
            log.delete(SPACE, key)
            del values[key]
        else:
            values[key] = bytes([number]) * rng.randrange(10, 60)
            log.put(SPACE, key, values[key])
        self._history.append(values)
        self._acknowledged = max(self._acknowledged, log.commit() - self._first_sequence)
        through_segment = log.choose_compaction()
        if through_segment is not None:
            log.compact(through_segment)


def run_scenario(injector: FaultInjector, log_type: LogType = SegmentedLog) -> str:
    """Runs the scenario; returns the violation, or an empty text."""
    run, rng = StoreRun(injector, log_type), random.Random(SEED)
    log = run.start()
    for number in range(STEP_COUNT):
        try:
            if number == STEP_COUNT // 2:
                run.tear_newest_file()
                run.restart(FaultKind.KILL)
                log = run.start()
                if violation := run.check(log):
                    return violation
            with contextlib.suppress(OSError):  # rejected changes are pending, and written with the next ones
                run.step(log, number, rng)
        except ProcessKilledError as killed:
            run.restart(killed.kind)
            log = run.start()
            if violation := run.check(log):
                return violation
    injector.is_counting = False
    run.restart(FaultKind.KILL)
    return run.check(run.start())

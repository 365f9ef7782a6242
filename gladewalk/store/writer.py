"""Asynchronous writer of the store: changes come from an event loop, the disk is used in a thread of its own.

Sync policies, by when a change is acknowledged:

    each    once it is synced; changes that come during a sync share the next one (group commit)
    group   as `each`, but a batch waits up to `group_ms` for more changes
    none    at once, without a sync: a power loss may take it

A disk that rejects writes stops nobody: pending changes are retried once in `RETRY_INTERVAL_SECONDS`, within
the log's bounds, and acknowledgements that wait resolve to False. One event is logged when that begins and
one when it ends.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Literal

from ..core.counters import Counters
from .errors import StoreFullError
from .key_index import NEVER_EXPIRES
from .segmented_log import SegmentedLog

SyncPolicy = Literal["each", "group", "none"]
LogEvent = Callable[[str, str], None]  # takes an event's name and its reason
RETRY_INTERVAL_SECONDS = 1.0
CLOSE_POLL_SECONDS = 0.02
COMPACTION_CHECK_BYTES = 16 * 1024  # written, before which the choice can't have changed much
WRITES_FAIL_EVENT = "store can't write"
WRITES_RECOVER_EVENT = "store is back"


@dataclass(slots=True, frozen=True)
class _Waiter:
    """Whoever waits until a sequence is durable."""

    sequence: int
    acknowledged: asyncio.Future[bool]

    def resolve(self, is_durable: bool) -> None:
        if not self.acknowledged.done():
            self.acknowledged.set_result(is_durable)


class StoreWriter:
    """One log and its thread; all calls come from the event loop's thread."""

    def __init__(
        self, log: SegmentedLog, policy: SyncPolicy, group_ms: float, counters: Counters, log_event: LogEvent
    ) -> None:
        self.log, self.policy, self.group_ms = log, policy, group_ms
        self.counters, self.log_event = counters, log_event
        self.is_failing = False  # the disk rejected the last write
        self._thread = ThreadPoolExecutor(1, "store")
        self._waiters: deque[_Waiter] = deque()
        self._wake = asyncio.Event()
        self._is_closing = False
        self._written_at_last_check = 0  # bytes, when compaction was last considered
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the task that writes; needs a running event loop."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def put(
        self, space: str, key: str, value: bytes, expires_at_ms: float = NEVER_EXPIRES
    ) -> asyncio.Future[bool]:
        """Sets a value, in memory at once; the future tells whether it is durable by the policy."""
        return self._change(lambda: self.log.put(space, key, value, expires_at_ms))

    def delete(self, space: str, key: str) -> asyncio.Future[bool]:
        """Removes a value; as `put`."""
        return self._change(lambda: self.log.delete(space, key))

    def _change(self, change: Callable[[], int]) -> asyncio.Future[bool]:
        acknowledged: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        try:
            sequence = change()
        except StoreFullError:
            self.counters.add("store.full")
            acknowledged.set_result(False)
            return acknowledged
        self.counters.add("store.puts")
        if self.policy == "none" or self.is_failing:
            acknowledged.set_result(not self.is_failing)
        else:
            self._waiters.append(_Waiter(sequence, acknowledged))
        self._wake.set()
        return acknowledged

    async def close(self) -> None:
        """Writes what is pending, if the disk takes it, and ends the task and the thread."""
        self._is_closing = True
        self._wake.set()
        if self._task is not None:
            await self._task
        self._thread.shutdown()

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            if self.policy == "group" and not self._is_closing:
                await asyncio.sleep(self.group_ms / 1000.0)
            is_written = await self._write_pending()
            if is_written and not self.log.pending:
                await self._compact()
            if self._is_closing and (not is_written or not self.log.pending):
                return
            if not is_written:
                await self._wait_for_retry()
            if self.log.pending:
                self._wake.set()

    async def _wait_for_retry(self) -> None:
        """Waits until the disk is tried again, or the writer is closed."""
        loop = asyncio.get_running_loop()
        retry_at = loop.time() + RETRY_INTERVAL_SECONDS
        while not self._is_closing and loop.time() < retry_at:
            await asyncio.sleep(CLOSE_POLL_SECONDS)
        self._wake.set()

    async def _write_pending(self) -> bool:
        """Writes one batch; whether the disk took it."""
        batch = self.log.prepare_batch(is_synced=self.policy != "none")
        if batch is None:
            return True
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self._thread, batch.write, self.log.file_system)
        except OSError as error:
            self.log.fail_batch(batch)
            self._note_failure(error)
            return False
        durable_sequence = self.log.complete_batch(batch)
        self.counters.add("store.batches")
        if self.is_failing:
            self.is_failing = False
            self.log_event(WRITES_RECOVER_EVENT, f"{len(batch.changes)} records written that had waited")
        while self._waiters and self._waiters[0].sequence <= durable_sequence:
            self._waiters.popleft().resolve(True)
        return True

    def _note_failure(self, error: OSError) -> None:
        self.counters.add("store.refused_by_disk")
        if not self.is_failing:
            self.is_failing = True
            self.log_event(WRITES_FAIL_EVENT, error.strerror or str(error))
        while self._waiters:
            self._waiters.popleft().resolve(False)

    async def _compact(self) -> None:
        """Compacts if enough was written since the last look and the policy chooses a prefix."""
        if self.log.written_bytes - self._written_at_last_check < COMPACTION_CHECK_BYTES:
            return
        self._written_at_last_check = self.log.written_bytes
        through_segment = self.log.choose_compaction()
        if through_segment is None:
            return
        compaction = self.log.prepare_compaction(through_segment)
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self._thread, compaction.write, self.log.file_system)
            self.log.install_compaction(compaction)
            self.counters.add("store.compactions")
            await loop.run_in_executor(self._thread, compaction.remove_replaced, self.log.file_system)
        except OSError as error:
            self._note_failure(error)

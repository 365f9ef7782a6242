"""Asynchronous writer of the store: changes are made on an event loop, and written to the disk in a thread.

The sync policy sets when a change is acknowledged:

    each    once it is synced; changes that are made during a sync share the next one (group commit)
    group   as `each`, but a batch is delayed by up to `group_ms` for more changes
    none    at once, without a sync: a power loss may lose it

If the disk rejects writes, the director continues without durable changes: pending changes are kept up to the
log's limit and written again every `RETRY_INTERVAL_SECONDS`, and pending acknowledgements resolve to False.
One event is logged when writes begin to fail, and one when they succeed again.
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
from .row_codecs import Row
from .segmented_log import SegmentedLog

SyncPolicy = Literal["each", "group", "none"]
LogEvent = Callable[[str, str], None]  # its arguments are an event's name and its reason
RETRY_INTERVAL_SECONDS = 1.0
CLOSE_POLL_SECONDS = 0.02
COMPACTION_CHECK_BYTES = 16 * 1024  # bytes written between two checks: fewer hardly change the choice
WRITES_FAIL_EVENT = "store can't write"
WRITES_RECOVER_EVENT = "store is back"


@dataclass(slots=True, frozen=True)
class _PendingAcknowledgement:
    """The acknowledgement of a change, which is due once its sequence number is durable."""

    sequence: int
    acknowledged: asyncio.Future[bool]

    def resolve(self, is_durable: bool) -> None:
        if not self.acknowledged.done():
            self.acknowledged.set_result(is_durable)


class StoreWriter:
    """One log and its thread; all calls are made in the event loop's thread."""

    def __init__(
        self, log: SegmentedLog, policy: SyncPolicy, group_ms: float, counters: Counters, log_event: LogEvent
    ) -> None:
        self.log, self.policy, self.group_ms = log, policy, group_ms
        self.counters, self.log_event = counters, log_event
        self.is_failing = False  # whether the disk rejected the last write
        self._thread = ThreadPoolExecutor(1, "store")
        self._acknowledgements: deque[_PendingAcknowledgement] = deque()
        self._wake = asyncio.Event()
        self._is_closing = False
        self._written_at_last_check = 0  # bytes written when compaction was last considered
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the writing task; needs a running event loop."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def put(
        self, space: str, key: str, value: bytes, expires_at_ms: float = NEVER_EXPIRES
    ) -> asyncio.Future[bool]:
        """Sets a value, in memory at once; the future's result is whether the change is acknowledged."""
        return self._change(lambda: self.log.put(space, key, value, expires_at_ms))

    def delete(self, space: str, key: str) -> asyncio.Future[bool]:
        """Removes a value; returns the same as `put`."""
        return self._change(lambda: self.log.delete(space, key))

    def write(self, row: Row) -> asyncio.Future[bool]:
        """Sets or removes the value of a row; returns the same as `put`."""
        if row.value is None:
            return self.delete(row.space, row.key)
        return self.put(row.space, row.key, row.value, row.expires_at_ms)

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
            self._acknowledgements.append(_PendingAcknowledgement(sequence, acknowledged))
        self._wake.set()
        return acknowledged

    async def close(self) -> None:
        """Writes the pending changes, unless the disk rejects them, and ends the task and the thread."""
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
        """Waits until the next attempt to write is due, or the writer is closed."""
        loop = asyncio.get_running_loop()
        retry_at = loop.time() + RETRY_INTERVAL_SECONDS
        while not self._is_closing and loop.time() < retry_at:
            await asyncio.sleep(CLOSE_POLL_SECONDS)
        self._wake.set()

    async def _write_pending(self) -> bool:
        """Writes one batch; returns False if the disk rejected it."""
        batch = self.log.prepare_batch(is_synced=self.policy != "none")
        if batch is None:
            return True
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self._thread, batch.write, self.log.file_system)
        except OSError as error:
            self.log.fail_batch(batch)
            self._record_failure(error)
            return False
        durable_sequence = self.log.complete_batch(batch)
        self.counters.add("store.batches")
        if self.is_failing:
            self.is_failing = False
            self.log_event(WRITES_RECOVER_EVENT, f"{len(batch.changes)} records written that had waited")
        while self._acknowledgements and self._acknowledgements[0].sequence <= durable_sequence:
            self._acknowledgements.popleft().resolve(True)
        return True

    def _record_failure(self, error: OSError) -> None:
        self.counters.add("store.refused_by_disk")
        if not self.is_failing:
            self.is_failing = True
            self.log_event(WRITES_FAIL_EVENT, error.strerror or str(error))
        while self._acknowledgements:
            self._acknowledgements.popleft().resolve(False)

    async def _compact(self) -> None:
        """Compacts if enough was written since the last check and the policy chooses a prefix."""
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
            self._record_failure(error)

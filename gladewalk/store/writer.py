"""The store beside an event loop: puts from the loop, the disk in a thread, acknowledged when durable.

    each    a put is written and synced as soon as the disk is free; what comes meanwhile shares the next sync
    group   puts wait up to some ms for others, and share a sync
    none    nothing is synced: a put is acknowledged at once, and a loss of power may take it

A disk that refuses stops nobody: what waits is tried again once a second, within bounds, and who waits for an
acknowledgement is told that there is none. It is said once when that begins and once when it ends.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Literal

from ..counters import Counters
from .key_index import FOREVER
from .segmented_log import Log, StoreFull

Policy = Literal["each", "group", "none"]
RETRY_S = 1.0
LOOK_BYTES = 16 * 1024


class Writer:
    """One log and its thread; all calls come from the loop's thread."""

    def __init__(
        self, log: Log, policy: Policy, group_ms: float, counters: Counters, say: Callable[[str, str], None]
    ) -> None:
        self.log, self.policy, self.group_ms = log, policy, group_ms
        self.counters, self.say = counters, say
        self.thread = ThreadPoolExecutor(1, "store")
        self.waiters: deque[tuple[int, asyncio.Future[bool]]] = deque()
        self.wake = asyncio.Event()
        self.failing = self.closing = False
        self.looked = 0  # bytes written when it was last looked whether to compact
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self._run())

    def put(self, space: str, key: str, value: bytes, until_ms: float = FOREVER) -> asyncio.Future[bool]:
        """Holds in memory at once; the future tells whether it lasts."""
        return self._told(lambda: self.log.put(space, key, value, until_ms))

    def delete(self, space: str, key: str) -> asyncio.Future[bool]:
        return self._told(lambda: self.log.delete(space, key))

    def _told(self, change: Callable[[], int]) -> asyncio.Future[bool]:
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        try:
            sequence = change()
        except StoreFull:
            self.counters.add("store.full")
            future.set_result(False)
            return future
        self.counters.add("store.puts")
        if self.policy == "none" or self.failing:
            future.set_result(not self.failing)
        else:
            self.waiters.append((sequence, future))
        self.wake.set()
        return future

    async def close(self) -> None:
        """What waits is written, if the disk takes it."""
        self.closing = True
        self.wake.set()
        if self.task is not None:
            await self.task
        self.thread.shutdown()

    async def _run(self) -> None:
        while True:
            await self.wake.wait()
            self.wake.clear()
            if self.policy == "group" and not self.closing:
                await asyncio.sleep(self.group_ms / 1000.0)
            good = await self._write()
            if good and not self.log.pending:
                await self._compact()
            if self.closing and (not good or not self.log.pending):
                return
            if not good:
                await self._pause()
            if self.log.pending:
                self.wake.set()

    async def _pause(self) -> None:
        """Until the disk is tried again, or the store is closed."""
        end = asyncio.get_running_loop().time() + RETRY_S
        while not self.closing and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.02)
        self.wake.set()

    async def _write(self) -> bool:
        batch = self.log.prepare(sync=self.policy != "none")
        if batch is None:
            return True
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self.thread, batch.write, self.log.disk)
        except OSError as error:
            self.log.failed(batch)
            self._refused(error)
            return False
        durable = self.log.done(batch)
        self.counters.add("store.batches")
        if self.failing:
            self.failing = False
            self.say("store is back", f"{len(batch.records)} records written that had waited")
        while self.waiters and self.waiters[0][0] <= durable:
            _, future = self.waiters.popleft()
            if not future.done():
                future.set_result(True)
        return True

    def _refused(self, error: OSError) -> None:
        self.counters.add("store.refused_by_disk")
        if not self.failing:
            self.failing = True
            self.say("store can't write", error.strerror or str(error))
        while self.waiters:
            _, future = self.waiters.popleft()
            if not future.done():
                future.set_result(False)

    async def _compact(self) -> None:
        if self.log.written - self.looked < LOOK_BYTES:  # so little can't have changed it much
            return
        self.looked = self.log.written
        upto = self.log.wanted()
        if upto is None:
            return
        compaction = self.log.prepare_compaction(upto)
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self.thread, compaction.write, self.log.disk)
            self.log.compacted(compaction)
            self.counters.add("store.compactions")
            await loop.run_in_executor(self.thread, compaction.clear_away, self.log.disk)
        except OSError as error:
            self._refused(error)

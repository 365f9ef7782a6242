"""What the pool holds of one server: its idle connections, and the dials that wait for new ones."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from ..config.platform import Address
from ..core.deadlines import DeadlineKey
from .http1 import CacheConnection
from .work_items import Job

if TYPE_CHECKING:
    from .connection_group import Lane
    from .pool import Caches

IDLE_PART = 0.6  # of the time after which a cache closes an idle connection: ours closes first


class Upstream:
    """One server of the list under its lasting name; its address is only where to dial."""

    def __init__(self, pool: Caches, name: str, address: Address) -> None:
        self.pool, self.name, self.address = pool, name, address
        self.model = ""
        self.idle: list[CacheConnection] = []
        self.lane: Lane | None = None  # its shared connections, where it is spoken to over HTTP/2
        self.gone = False

    def rest(self, connection: CacheConnection) -> None:
        pool = self.pool
        if self.gone or connection.address != self.address:  # it leads to where this server was
            return connection.close()
        self.idle.append(connection)
        connection.idle_until = pool.clock() + pool.config.idle_timeout_ms * IDLE_PART
        pool.pump()

    def wake(self) -> CacheConnection | None:
        """The connection that was used last, if one is idle and its other end is still quiet."""
        now = self.pool.clock()
        while self.idle:
            connection = self.idle.pop()
            if connection.idle_until >= now and connection.is_quiet():
                return connection
            connection.close()  # its other end has closed or spoken, or may be closing it just now
        return None

    def close_stale(self, now_ms: float) -> None:
        while self.idle and self.idle[0].idle_until < now_ms:
            self.idle.pop(0).close()

    def close_idle(self) -> None:
        for connection in list(self.idle):
            connection.close()
        self.idle.clear()
        if self.lane is not None:
            self.lane.close_idle()


class Dial:
    """A job that waits for its connection; it waits in a queue, or its connection is being opened."""

    def __init__(self, pool: Caches, job: Job, upstream: Upstream, queue: deque[Dial]) -> None:
        self.pool, self.job, self.upstream = pool, job, upstream
        self.queue: deque[Dial] | None = queue
        self.task: asyncio.Task[None] | None = None
        self.due: DeadlineKey | None = None

    def drop(self, job: Job) -> None:
        self.pool.hang_up(self)

    def flow(self, job: Job, on: bool) -> None:
        pass


class LaneDial:
    """A connection that a lane wants, and that no job waits for by itself."""

    def __init__(self, lane: Lane) -> None:
        self.lane, self.upstream = lane, lane.upstream
        self.task: asyncio.Task[None] | None = None

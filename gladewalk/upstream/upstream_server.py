"""The pool's record of one server: its idle connections, and the requests for new connections."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Protocol

from ..config.platform import Address, PlatformConfig
from ..core.deadlines import DeadlineKey
from .http1 import Http1Connection
from .reuse_delay import ReuseDelay
from .work_items import ConnectionOwner, WorkItem

if TYPE_CHECKING:  # the library that reads options is not imported unless there is an options file
    from ..config.option_tables import Http2Options

# The director closes an idle connection after this fraction of a cache's idle timeout, before the cache does.
IDLE_TIMEOUT_FRACTION = 0.6


class ServerPool(ConnectionOwner, Protocol):
    """The part of the pool that a server's record uses."""

    @property
    def config(self) -> PlatformConfig:
        """The platform configuration in force."""

    def withdraw(self, request: ConnectionRequest) -> ConnectionRequest:
        """Ends a work item's wait for its connection."""


class WaitQueue(Protocol):
    """A queue of work items that wait for their connections."""

    def remove(self, request: ConnectionRequest, /) -> None:
        """Removes a request from the queue."""


class SharedConnections(Protocol):
    """The part of a server's HTTP/2 connection group that the server's record and the pool use."""

    options: Http2Options
    waiting: deque[ConnectionRequest]

    @property
    def has_connections(self) -> bool:
        """Whether any open connection has received the server's settings."""

    def send(self, item: WorkItem) -> None:
        """Sends a work item as soon as a stream is available for it."""

    def close_idle(self) -> None:
        """Drains the connections: sends nothing new on them, and closes each once it is idle."""


class UpstreamServer:
    """One server of the endpoint list; its name stays the same when its address changes.

    Attributes:
        model: The server's model in the endpoint list.
        idle: Its idle HTTP/1.1 connections, ordered by their last use, the most recent at the end.
        group: Its HTTP/2 connections; None while HTTP/1.1 is used.
        is_removed: Whether the server was removed from the endpoint list: requests in flight go on, and no
            connection becomes idle any more.
        reuse_delay: How long a connection is not reused after each response.
    """

    def __init__(self, pool: ServerPool, name: str, address: Address) -> None:
        self.pool, self.name, self.address = pool, name, address
        self.model = ""
        self.idle: list[Http1Connection] = []
        self.group: SharedConnections | None = None
        self.is_removed = False
        self.reuse_delay = ReuseDelay()

    def release(self, connection: Http1Connection) -> None:
        """Adds a connection to the idle ones, or closes it if it leads to a former address of the server."""
        pool = self.pool
        if self.is_removed or connection.address != self.address:
            return connection.close()
        self.idle.append(connection)
        connection.released_ms = pool.clock()
        connection.idle_until_ms = (
            connection.released_ms + pool.config.idle_timeout_ms * IDLE_TIMEOUT_FRACTION
        )
        pool.serve_waiting()

    def acquire(self) -> Http1Connection | None:
        """Returns the most recently used idle connection that may be reused now, None if there is none."""
        now_ms = self.pool.clock()
        while (index := self._reusable_index(now_ms)) is not None:
            connection = self.idle.pop(index)
            if connection.idle_until_ms >= now_ms and connection.is_input_empty():
                return connection
            connection.close()  # the server has closed it, may be closing it now, or has sent surplus bytes
        return None

    def _reusable_index(self, now_ms: float) -> int | None:
        """Returns the index of the idle connection to reuse, None if the reuse delay of none has passed."""
        max_released_ms = now_ms - self.reuse_delay.duration_ms(now_ms)
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[index]
            if connection.released_ms <= max_released_ms or not connection.has_carried:
                return index
        return None

    def next_reusable_ms(self) -> float:
        """Returns when to look for a reusable connection next, steady milliseconds.

        That is the end of the earliest reuse delay, or one reuse delay from now if no connection is idle: a
        connection that is in use now may be idle by then.
        """
        now_ms = self.pool.clock()
        released_ms = min((connection.released_ms for connection in self.idle), default=now_ms)
        return released_ms + self.reuse_delay.duration_ms(now_ms)

    def forget(self, connection: Http1Connection) -> None:
        """Removes a closed connection from the idle ones, if it is among them."""
        if connection in self.idle:
            self.idle.remove(connection)

    def close_stale(self, now_ms: float) -> None:
        """Closes the connections that have been idle for too long."""
        while self.idle and self.idle[0].idle_until_ms < now_ms:
            self.idle.pop(0).close()

    def close_idle(self) -> None:
        """Closes all idle connections; HTTP/2 connections are closed once nothing is in flight on them."""
        for connection in list(self.idle):
            connection.close()
        self.idle.clear()
        if self.group is not None:
            self.group.close_idle()


class ConnectionRequest:
    """A work item that waits for a connection: in a queue, or while its connection is being opened.

    Attributes:
        queue: The queue that it waits in; None once its connection is being opened.
        task: The task that opens its connection.
        timer: The deadline of the wait.
        is_local_failure: Whether opening the connection failed because of this process or machine, not the
            server.
    """

    def __init__(
        self,
        pool: ServerPool,
        item: WorkItem,
        server: UpstreamServer,
        queue: WaitQueue,
    ) -> None:
        self.pool, self.item, self.server = pool, item, server
        self.queue: WaitQueue | None = queue
        self.task: asyncio.Task[None] | None = None
        self.timer: DeadlineKey | None = None
        self.is_local_failure = False

    def cancel_opening(self) -> None:
        """Stops opening a connection that no work item waits for any more."""
        if self.task is not None:
            self.task.cancel()

    def cancel(self, item: WorkItem) -> None:
        """Ends the wait; the work item gets no result."""
        self.pool.withdraw(self)

    def set_reading(self, item: WorkItem, on: bool) -> None:
        """Does nothing: there is no response yet."""

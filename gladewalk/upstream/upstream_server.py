"""What the pool holds of one server: its idle connections, and the requests for new ones."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Protocol

from ..config.platform import Address, PlatformConfig
from ..core.deadlines import DeadlineKey
from .http1 import Http1Connection
from .reuse_delay import ReuseDelay
from .work_items import ConnectionOwner, WorkItem

if TYPE_CHECKING:  # the options' library is not imported without a file of options
    from ..config.option_tables import Http2Options

IDLE_TIMEOUT_FRACTION = 0.6  # of the time after which a cache closes an idle connection: ours closes first


class ServerPool(ConnectionOwner, Protocol):
    """What a server's record needs of the pool that it belongs to."""

    @property
    def config(self) -> PlatformConfig:
        """The platform's configuration in force."""

    def withdraw(self, request: ConnectionRequest) -> ConnectionRequest:
        """Ends the wait of a work item for its connection."""


class WaitQueue(Protocol):
    """A queue that work items wait in for their connections."""

    def remove(self, request: ConnectionRequest, /) -> None:
        """Removes a request from the queue."""


class SharedConnections(Protocol):
    """What a server's record and the pool need of the server's HTTP/2 connections."""

    options: Http2Options
    waiting: deque[ConnectionRequest]

    @property
    def has_connections(self) -> bool:
        """Whether any connection is open whose server has sent its settings."""

    def send(self, item: WorkItem) -> None:
        """Sends a work item as soon as there is a stream for it."""

    def close_idle(self) -> None:
        """Closes the connections as soon as nothing is in flight on them; nothing new is sent on them."""


class UpstreamServer:
    """One server of the endpoint list, by a name that outlives its address.

    Attributes:
        model: The model that the endpoint list gives.
        idle: Its idle HTTP/1.1 connections, the one used last at the end.
        group: Its HTTP/2 connections; None while HTTP/1.1 is spoken.
        is_removed: Whether the endpoint list has removed it: what is in flight goes on, nothing stays idle.
        rest: How long a connection rests after each response before it carries the next request.
    """

    def __init__(self, pool: ServerPool, name: str, address: Address) -> None:
        self.pool, self.name, self.address = pool, name, address
        self.model = ""
        self.idle: list[Http1Connection] = []
        self.group: SharedConnections | None = None
        self.is_removed = False
        self.rest = ReuseDelay()

    def release(self, connection: Http1Connection) -> None:
        """Takes a connection back as idle, or closes one that leads to a former address."""
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
        """Returns the usable idle connection that was used last, None if there is none."""
        now_ms = self.pool.clock()
        while (index := self._last_rested(now_ms)) is not None:
            connection = self.idle.pop(index)
            if connection.idle_until_ms >= now_ms and connection.is_quiet():
                return connection
            connection.close()  # the server has closed it or sent something, or may be closing it just now
        return None

    def _last_rested(self, now_ms: float) -> int | None:
        """Returns the place of the idle connection to use, None while each still rests."""
        max_released_ms = now_ms - self.rest.duration_ms(now_ms)
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[index]
            if connection.released_ms <= max_released_ms or not connection.has_carried:
                return index
        return None

    def next_rested_ms(self) -> float:
        """Returns when to look for a rested connection next, steady milliseconds: one may be in use now."""
        now_ms = self.pool.clock()
        released_ms = min((connection.released_ms for connection in self.idle), default=now_ms)
        return released_ms + self.rest.duration_ms(now_ms)

    def forget(self, connection: Http1Connection) -> None:
        """Removes a connection that is closed from the idle ones, if it is among them."""
        if connection in self.idle:
            self.idle.remove(connection)

    def close_stale(self, now_ms: float) -> None:
        """Closes the connections that have been idle for too long."""
        while self.idle and self.idle[0].idle_until_ms < now_ms:
            self.idle.pop(0).close()

    def close_idle(self) -> None:
        """Closes all idle connections; HTTP/2 ones as soon as nothing is in flight on them."""
        for connection in list(self.idle):
            connection.close()
        self.idle.clear()
        if self.group is not None:
            self.group.close_idle()


class ConnectionRequest:
    """A work item that waits for a connection: in a queue, or while its connection is being opened.

    Attributes:
        queue: The queue that it waits in; None once its connection is being opened.
        task: Opens its connection.
        timer: When the wait ends without a connection.
        is_local_failure: Whether its connection failed for a reason that is not the server's.
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

    def give_up(self) -> None:
        """Ends the opening of a connection that nothing waits for any more."""
        if self.task is not None:
            self.task.cancel()

    def cancel(self, item: WorkItem) -> None:
        """Ends the wait; the work item gets no result."""
        self.pool.withdraw(self)

    def set_reading(self, item: WorkItem, on: bool) -> None:
        """Does nothing: there is no response yet."""

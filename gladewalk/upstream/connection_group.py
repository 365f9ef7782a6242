"""The HTTP/2 connections of one server, and the work items that wait for a stream."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from .. import interface as api
from ..config.option_tables import Http2Options
from ..core.exchange import AttemptResult
from ..streams.stream_allocator import ConnectionSlots, NextStep, StreamAllocator
from .http2 import Http2Connection, Http2Pool
from .upstream_server import ConnectionRequest, ServerPool, UpstreamServer, WaitQueue
from .work_items import WorkItem

# A single close without data may be a restart. After the second one, the server is assumed not to know the
# HTTP/2 preface.
MAX_CLOSES_WITHOUT_DATA = 2


class GroupPool(ServerPool, Http2Pool, Protocol):
    """The part of the pool that a connection group uses."""

    def enqueue(self, item: WorkItem, server: UpstreamServer, queue: WaitQueue) -> ConnectionRequest:
        """Returns a work item's request for a connection; the caller appends it to the queue."""

    def fail_request(self, request: ConnectionRequest) -> None:
        """Fails a work item that gets no connection."""

    def write(self, connection: Http2Connection, item: WorkItem) -> None:
        """Sends a work item on an open connection."""

    def open_group_connection(self, group: ConnectionGroup) -> None:
        """Opens a connection for a group, as soon as the limit allows one more connection."""

    def fall_back(self, server: UpstreamServer, reason: str) -> None:
        """Uses HTTP/1.1 for a server from now on."""


class ConnectionGroup:
    """The HTTP/2 connections of one server, opened, used and drained as its `StreamAllocator` decides.

    Attributes:
        connections: Connections that have received the server's settings, by the number of their slots.
        handshaking: Open connections that have not received the server's settings yet.
        waiting: Work items that wait for a stream, in their order.
        closes_without_data: How many connections in a row the server has closed without sending a byte.
    """

    def __init__(self, pool: GroupPool, server: UpstreamServer, options: Http2Options) -> None:
        self.pool, self.server, self.options = pool, server, options
        self.allocator = StreamAllocator(options)
        self.connections: dict[int, Http2Connection] = {}
        self.handshaking: set[Http2Connection] = set()
        self.waiting: deque[ConnectionRequest] = deque()
        self.closes_without_data = 0
        self._is_serving = False

    @property
    def has_connections(self) -> bool:
        """Whether any open connection has received the server's settings."""
        return bool(self.connections)

    def send(self, item: WorkItem) -> None:
        """Sends a work item as soon as a stream is available for it."""
        self.waiting.append(self.pool.enqueue(item, self.server, self.waiting))
        self.serve_waiting()

    def serve_waiting(self) -> None:
        """Assigns available streams to waiting work items, in the order in which they were queued."""
        if self._is_serving:
            return
        self._is_serving = True
        try:
            while self.waiting:
                choice = self.allocator.choose(len(self.waiting), self.pool.clock())
                if choice is NextStep.WAIT:
                    return
                if choice is NextStep.OPEN:
                    self.allocator.dial_begun()
                    self.pool.open_group_connection(self)
                    continue
                item = self.pool.withdraw(self.waiting[0]).item
                if isinstance(choice, ConnectionSlots):
                    self.pool.write(self.connections[choice.number], item)
                else:  # the backoff after the server's ENHANCE_YOUR_CALM has not ended
                    self.pool.counters.add("h2.calm_kept")
                    self.pool.finish(item, AttemptResult(api.Status.REJECTED))
        finally:
            self._is_serving = False

    # Called by connections and by the connection opener.

    def connection_opened(self, connection: Http2Connection) -> None:
        """Adds an open connection, which carries requests once it has received the server's settings."""
        self.handshaking.add(connection)

    def connection_failed(self) -> None:
        """Handles a failed connect; fails all waiting work items if no other connection is left."""
        self.allocator.dial_ended()
        if not self.allocator.dialling and not self.connections:
            for request in list(self.waiting):
                self.pool.fail_request(request)

    def settings_received(self, connection: Http2Connection, max_streams: int) -> ConnectionSlots:
        """Adds a connection that has received the server's settings, and returns its slots."""
        self.handshaking.discard(connection)
        self.closes_without_data = 0
        self.allocator.dial_ended()
        slots = self.allocator.add_connection(max_streams, self.pool.clock())
        self.connections[slots.number] = connection
        if connection.address != self.server.address or self.server.is_removed:
            self.allocator.drain(slots, self.pool.clock())  # the server was removed or has a new address
        return slots

    def connection_closed(self, connection: Http2Connection) -> None:
        """Removes a closed connection; after a second close without data, falls back to HTTP/1.1."""
        if connection in self.handshaking:
            self.handshaking.discard(connection)
            self.closes_without_data += not connection.has_received
            if self.closes_without_data >= MAX_CLOSES_WITHOUT_DATA and self.server.group is self:
                self.fall_back("closed after the HTTP/2 preface")
            self.connection_failed()
        if connection.slots is not None:
            self.allocator.remove_connection(connection.slots)
            self.connections.pop(connection.slots.number, None)

    def calm_requested(self) -> None:
        """Handles the server's ENHANCE_YOUR_CALM."""
        self.pool.counters.add("h2.calm_asked")
        self.allocator.calm_requested(self.pool.clock())

    def fall_back(self, reason: str) -> None:
        """Uses HTTP/1.1 for the server from now on; none of the waiting work items was sent."""
        self.pool.fall_back(self.server, reason)

    # Called by the pool.

    def close_idle(self) -> None:
        """Drains all connections: sends nothing new on them, and closes each once it is idle."""
        for connection in list(self.connections.values()):
            assert connection.slots is not None
            self.allocator.drain(connection.slots, self.pool.clock())
            connection.close_if_idle()
        for connection in list(self.handshaking):
            connection.close()

    def sweep(self, now_ms: float, max_idle_ms: float) -> None:
        """Closes connections that have drained or been idle too long, and checks the others by keep-alive."""
        for slots in self.allocator.closable_connections(now_ms, max_idle_ms):
            self.connections[slots.number].close()
        for connection in [*self.connections.values(), *self.handshaking]:
            connection.check_keep_alive(now_ms)
        if self.waiting:
            self.serve_waiting()

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

# One may be a restart; a server that closes a second connection without a byte does not know the preface.
MAX_SILENT_CLOSES = 2


class GroupPool(ServerPool, Http2Pool, Protocol):
    """What a group needs of the pool."""

    def enqueue(self, item: WorkItem, server: UpstreamServer, queue: WaitQueue) -> ConnectionRequest:
        """Returns a work item's request for a connection, which the caller appends to the queue."""

    def fail_request(self, request: ConnectionRequest) -> None:
        """Ends a work item that gets no connection."""

    def write(self, connection: Http2Connection, item: WorkItem) -> None:
        """Sends a work item on an open connection."""

    def open_group_connection(self, group: ConnectionGroup) -> None:
        """Opens a connection for a group, as soon as the limit allows one more."""

    def fall_back(self, server: UpstreamServer, reason: str) -> None:
        """Speaks HTTP/1.1 to a server from now on."""


class ConnectionGroup:
    """Carries out for one server what its `StreamAllocator` decides.

    Attributes:
        connections: Connections whose server has sent its settings, by the number of their slots.
        handshaking: Connections that are open, but whose server has not sent its settings.
        waiting: Work items that wait for a stream, in their order.
        silent_closes: Connections in a row that the server closed without having sent a byte.
    """

    def __init__(self, pool: GroupPool, server: UpstreamServer, options: Http2Options) -> None:
        self.pool, self.server, self.options = pool, server, options
        self.allocator = StreamAllocator(options)
        self.connections: dict[int, Http2Connection] = {}
        self.handshaking: set[Http2Connection] = set()
        self.waiting: deque[ConnectionRequest] = deque()
        self.silent_closes = 0
        self._is_serving = False

    @property
    def has_connections(self) -> bool:
        """Whether any connection is open whose server has sent its settings."""
        return bool(self.connections)

    def send(self, item: WorkItem) -> None:
        """Sends a work item as soon as there is a stream for it."""
        self.waiting.append(self.pool.enqueue(item, self.server, self.waiting))
        self.serve_waiting()

    def serve_waiting(self) -> None:
        """Gives waiting work items the streams that are available now, first come first served."""
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
                else:  # the server has asked for calm
                    self.pool.counters.add("h2.calm_kept")
                    self.pool.finish(item, AttemptResult(api.Status.REJECTED))
        finally:
            self._is_serving = False

    # Called by connections and by what opens them.

    def connection_opened(self, connection: Http2Connection) -> None:
        """A connection is open; it carries requests once its server has sent its settings."""
        self.handshaking.add(connection)

    def connection_failed(self) -> None:
        """A connection could not be opened; if there is none left, no work item waits any longer."""
        self.allocator.dial_ended()
        if not self.allocator.dialling and not self.connections:
            for request in list(self.waiting):
                self.pool.fail_request(request)

    def settings_received(self, connection: Http2Connection, max_streams: int) -> ConnectionSlots:
        """A connection's server has sent its settings: returns its slots; it takes requests from now on."""
        self.handshaking.discard(connection)
        self.silent_closes = 0
        self.allocator.dial_ended()
        slots = self.allocator.add_connection(max_streams, self.pool.clock())
        self.connections[slots.number] = connection
        if connection.address != self.server.address or self.server.is_removed:
            self.allocator.drain(slots, self.pool.clock())  # it leads to a former address
        return slots

    def connection_closed(self, connection: Http2Connection) -> None:
        """A connection is closed."""
        if connection in self.handshaking:
            self.handshaking.discard(connection)
            self.silent_closes += not connection.has_received
            if self.silent_closes >= MAX_SILENT_CLOSES and self.server.group is self:
                self.fall_back("closed on our preface")
            self.connection_failed()
        if connection.slots is not None:
            self.allocator.remove_connection(connection.slots)
            self.connections.pop(connection.slots.number, None)

    def calm_requested(self) -> None:
        """The server has sent ENHANCE_YOUR_CALM."""
        self.pool.counters.add("h2.calm_asked")
        self.allocator.calm_requested(self.pool.clock())

    def fall_back(self, reason: str) -> None:
        """Speaks HTTP/1.1 to the server from now on; nothing that waits here was sent."""
        self.pool.fall_back(self.server, reason)

    # Called by the pool.

    def close_idle(self) -> None:
        """Closes each connection as soon as nothing is in flight on it; nothing new is sent on them."""
        for connection in list(self.connections.values()):
            assert connection.slots is not None
            self.allocator.drain(connection.slots, self.pool.clock())
            connection.close_if_idle()
        for connection in list(self.handshaking):
            connection.close()

    def sweep(self, now_ms: float, max_idle_ms: float) -> None:
        """Closes connections that are drained or idle, and checks the others by keep-alive."""
        for slots in self.allocator.closable_connections(now_ms, max_idle_ms):
            self.connections[slots.number].close()
        for connection in [*self.connections.values(), *self.handshaking]:
            connection.check_keep_alive(now_ms)
        if self.waiting:
            self.serve_waiting()

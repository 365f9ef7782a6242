"""The connection pool: all connections to caches, parents and origins, within a share of the descriptors.

A server is reached over HTTP/1.1, with one work item at a time on a connection, or over a `ConnectionGroup`
of multiplexed HTTP/2 connections. `ProtocolNegotiation` decides which; one limit applies to the connections
of both protocols together.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING, Any

from .. import interface as api
from ..config.platform import Address, PlatformConfig
from ..core.counters import Counters
from ..core.deadlines import Deadlines
from ..core.exchange import Attempt, AttemptResult, Exchange
from ..net.bounded_reads import ReadTurns
from .connection_opener import ConnectionOpener, GroupConnectionRequest
from .http1 import Http1Connection
from .protocol_fields import HEALTH_CHECK_PATH
from .upstream_server import IDLE_TIMEOUT_FRACTION, ConnectionRequest, UpstreamServer, WaitQueue
from .work_items import HealthCheck, WorkItem

if TYPE_CHECKING:  # HTTP/2 and its library are not imported while HTTP/2 is off
    from ..streams.stream_tracker import StreamOutcome
    from .connection_factory import ConnectionFactory
    from .connection_group import ConnectionGroup
    from .http2 import Http2Connection

RESERVED_DESCRIPTORS = 48  # for the program itself: listeners, the coordinator, logs, overlapping connects
UPSTREAM_DESCRIPTOR_FRACTION = 0.6  # of all descriptors; clients may use up to a third
MIN_CONNECTIONS = 8  # the lower bound of the limit, even if there are too few descriptors
IDLE_SWEEP_INTERVAL_MS = 1_000.0
GROUP_SWEEP_INTERVAL_MS = 100.0  # while there are HTTP/2 groups; it limits the precision of their keep-alive
HEALTH_CHECK_TIMEOUT_MS = 250.0


class ConnectionPool:
    """All connections to servers, and the work items that wait for one (implements `UpstreamPool`).

    Attributes:
        connection_factory: Protocols and TLS; None: HTTP/1.1 without TLS for every server.
        servers: The servers of the endpoint list, by name.
        waiting: Requests for connections, in their order, until a connection may be opened.
        groups: The HTTP/2 connection groups in use, and replaced ones whose connections are not closed yet.
        max_connections: The limit of open connections and those being opened, together.
        is_retired: Whether no new requests are started: all servers are removed after the last open request.
        http1_class: The class of HTTP/1.1 connections to the servers.
        on_stream_ended: If set, called with each HTTP/2 attempt that ended without a complete response.
    """

    def __init__(
        self,
        exchange: Exchange,
        config: PlatformConfig,
        clock: Callable[[], float],
        deadlines: Deadlines,
        counters: Counters,
        connection_factory: ConnectionFactory | None = None,
    ) -> None:
        self.exchange, self.clock = exchange, clock
        self.deadlines, self.counters = deadlines, counters
        self.connection_factory = connection_factory
        self.servers: dict[str, UpstreamServer] = {}
        self.configure(config)
        self.open_connections: set[asyncio.BaseProtocol] = set()
        self.read_turns = ReadTurns(exchange.memory.plan.server_read_bytes)
        self.opener = ConnectionOpener(self)
        self.waiting: deque[ConnectionRequest | GroupConnectionRequest] = deque()
        self.groups: list[ConnectionGroup] = []
        self.is_retired = False
        self.http1_class: type[Http1Connection] = Http1Connection
        self.on_stream_ended: Callable[[Attempt, StreamOutcome], None] | None = None

    def configure(self, config: PlatformConfig) -> None:
        """Applies the platform configuration; open connections stay open."""
        self.config = config
        # A director with an inherited listener may run beside another process during a handover, and both
        # together may use the descriptors.
        sharers = 1 if config.inherited_fd is None else 2
        available = int(config.max_descriptors * UPSTREAM_DESCRIPTOR_FRACTION) - RESERVED_DESCRIPTORS
        self.max_connections = max(MIN_CONNECTIONS, available // sharers)

    def set_connection_factory(self, factory: ConnectionFactory | None) -> None:
        """Applies changed protocol options; requests in flight go on under the former options."""
        self.connection_factory = factory
        for server in self.servers.values():
            self._update_group(server)
            if server.group is not None:  # the certificates may have changed: open connections are replaced
                server.group.close_idle()

    def sweep(self) -> None:
        """Closes connections that have been idle too long, before the servers do; schedules its next call."""
        now_ms = self.clock()
        if self.is_retired and not self.exchange.open_requests:
            return self.keep_only(())
        max_idle_ms = self.config.idle_timeout_ms * IDLE_TIMEOUT_FRACTION
        for server in self.servers.values():
            server.close_stale(now_ms)
        for group in list(self.groups):
            group.sweep(now_ms, max_idle_ms)
            if group.server.group is not group and not group.connections and not group.handshaking:
                self.groups.remove(group)
        interval_ms = GROUP_SWEEP_INTERVAL_MS if self.groups else IDLE_SWEEP_INTERVAL_MS
        self.deadlines.add(now_ms + interval_ms, self.sweep)

    # Called by the exchange.

    def set_address(self, name: str, address: Address | None, model: str = "") -> None:
        """Sets the address of a server of this model for new connections; None removes the server."""
        server = self.servers.get(name)
        if server is not None and server.address != address:
            server.close_idle()
            if self.connection_factory is not None:
                self.connection_factory.negotiation.forget(name)
        if server is None and address is not None:
            server = self.servers[name] = UpstreamServer(self, name, address)
        elif server is not None and address is not None:
            server.address = address
        elif server is not None:
            server.is_removed = True
            del self.servers[name]
        if server is not None and model:
            server.model = model

    def keep_only(self, names: Collection[str]) -> None:
        """Removes all servers except the named ones."""
        for name in [name for name in self.servers if name not in names]:
            self.set_address(name, None)

    def address(self, name: str) -> Address | None:
        """Returns a server's address, None for an unknown server."""
        return self.servers[name].address if name in self.servers else None

    def start(self, attempt: Attempt) -> None:
        """Sends an attempt's request, at once or as soon as it has a connection."""
        self._begin(attempt, attempt.decision.server)

    def cancel(self, attempt: Attempt) -> None:
        """Abandons an attempt: the exchange gets no further calls about it."""
        self._cancel(attempt)

    def set_reading(self, attempt: Attempt, on: bool) -> None:
        """Resumes (`on`) or pauses reading an attempt's response."""
        if attempt.carrier is not None:
            attempt.carrier.set_reading(attempt, on)

    def probe(
        self,
        name: str,
        done: Callable[[api.Status, float, Any], None],
        path: str = HEALTH_CHECK_PATH,
    ) -> None:
        """Sends a health check; `done` is called with its status, duration in ms and load report."""
        check = HealthCheck(done, self.clock(), path)
        timeout_ms = check.started_ms + HEALTH_CHECK_TIMEOUT_MS
        check.timer = self.deadlines.add(timeout_ms, lambda: self._time_out(check))
        self._begin(check, name)

    def close_idle(self, name: str) -> None:
        """Closes a server's idle connections."""
        if name in self.servers:
            self.servers[name].close_idle()

    # Work items and their connections.

    def finish(self, item: WorkItem, result: AttemptResult) -> None:
        """Ends a work item with its result."""
        item.carrier = None
        if isinstance(item, Attempt):
            return self.exchange.attempt_ended(item, result)
        self.deadlines.drop(item.timer)
        status = api.Status.ERROR if result.status is api.Status.MISS else result.status
        item.on_result(status, self.clock() - item.started_ms, result.load_report)

    def write(self, connection: Http1Connection | Http2Connection, item: WorkItem) -> None:
        """Sends a work item on an open connection, unless a drain or purge has forbidden it meanwhile."""
        if isinstance(item, Attempt):
            if not self.exchange.may_write(item):
                return self._hold_back(connection, item, api.Status.NOT_SENT)
            if not self.exchange.claim_execution(item):  # another process may have run it
                return self._hold_back(connection, item, api.Status.CANCELLED)
            self.counters.add("attempts.written")
        connection.send(item)

    def _hold_back(
        self, connection: Http1Connection | Http2Connection, item: Attempt, status: api.Status
    ) -> None:
        if isinstance(connection, Http1Connection):
            connection.server.release(connection)
        self.counters.add("attempts.held_back")
        self.finish(item, AttemptResult(status))

    def serve_waiting(self) -> None:
        """Assigns available connections to waiting work items, in the order in which they were queued."""
        while self.waiting:
            request = self.waiting[0]
            connection = request.server.acquire() if isinstance(request, ConnectionRequest) else None
            if connection is not None and isinstance(request, ConnectionRequest):
                self.write(connection, self.withdraw(request).item)
            elif len(self.open_connections) + len(self.opener.opening) < self.max_connections:
                self.waiting.popleft()
                self.opener.open(request)
                if isinstance(request, ConnectionRequest):
                    self._schedule_reuse(request)
            else:
                return self._close_longest_idle()

    def _schedule_reuse(self, request: ConnectionRequest) -> None:
        """Schedules a check for a reusable connection while a new one is being opened for a work item."""
        self.deadlines.add(request.server.next_reusable_ms(), lambda: self._reuse_connection(request))

    def _reuse_connection(self, request: ConnectionRequest) -> None:
        """Sends a work item on a connection that has become reusable before its new connection is open.

        The new connection becomes idle once it is open, or is abandoned when the connect timeout ends.
        """
        if request.item.carrier is not request:
            return
        connection = request.server.acquire()
        if connection is None:
            return self._schedule_reuse(request)
        self.deadlines.drop(request.timer)
        until_ms = self.clock() + self.config.connect_timeout_ms
        request.timer = self.deadlines.add(until_ms, request.cancel_opening)
        self.counters.add("caches.rested_first")
        self.write(connection, request.item)

    def enqueue(self, item: WorkItem, server: UpstreamServer, queue: WaitQueue) -> ConnectionRequest:
        """Returns a work item's request for a connection, which `connect_timeout_ms` limits.

        The caller appends it to the queue.
        """
        request = item.carrier = ConnectionRequest(self, item, server, queue)
        until_ms = self.clock() + self.config.connect_timeout_ms
        request.timer = self.deadlines.add(until_ms, lambda: self.fail_request(request))
        return request

    def withdraw(self, request: ConnectionRequest) -> ConnectionRequest:
        """Ends a work item's wait for its connection, and returns its request."""
        self.deadlines.drop(request.timer)
        if request.queue is not None:
            request.queue.remove(request)
            request.queue = None
        elif request.task is not None and request.task is not asyncio.current_task():
            request.task.cancel()
        return request

    def fail_request(self, request: ConnectionRequest) -> None:
        """Ends a work item that gets no connection: refused, unreachable, timed out, or over a limit.

        Nothing of the work item was sent.
        """
        is_queued = request.queue is not None
        group = request.server.group
        if is_queued and group is not None and request.queue is group.waiting:
            is_queued = group.has_connections  # without any, the reason is that none could be opened
            self.counters.add("h2.no_stream" if is_queued else "caches.connects_failed")
        else:
            self.counters.add("caches.no_descriptor" if is_queued else "caches.connects_failed")
        self.withdraw(request)
        is_local = is_queued or request.is_local_failure
        if request.is_local_failure:
            self.counters.add("caches.connects_failed_here")
        status = api.Status.NOT_SENT if is_local else api.Status.CONNECT_FAILED
        self.finish(request.item, AttemptResult(status))

    def _begin(self, item: WorkItem, name: str) -> None:
        server = self.servers.get(name)
        if server is None:
            return self.finish(item, AttemptResult(api.Status.CONNECT_FAILED))
        if self.connection_factory is not None:
            self._update_group(server)
            if server.group is not None:
                return server.group.send(item)
        connection = server.acquire()
        if connection is not None:
            return self.write(connection, item)
        self.waiting.append(self.enqueue(item, server, self.waiting))
        self.serve_waiting()

    def _cancel(self, item: WorkItem) -> None:
        carrier, item.carrier = item.carrier, None
        if carrier is not None:
            carrier.cancel(item)

    def _time_out(self, check: HealthCheck) -> None:
        self._cancel(check)
        self.finish(check, AttemptResult(api.Status.TIMEOUT))

    def _close_longest_idle(self) -> None:
        """Closes the connection that has been idle the longest, so that another one can be opened."""
        idle: list[tuple[float, Http1Connection | Http2Connection]] = []
        for server in self.servers.values():
            if server.idle:
                idle.append((server.idle[0].idle_until_ms, server.idle[0]))
        max_idle_ms = self.config.idle_timeout_ms * IDLE_TIMEOUT_FRACTION
        for group in self.groups:
            for connection in group.connections.values():
                if not connection.streams and connection.slots is not None:
                    idle.append((connection.slots.idle_since_ms + max_idle_ms, connection))
        if idle:
            min(idle, key=lambda entry: entry[0])[1].close()

    # Servers that are reached over HTTP/2.

    def open_group_connection(self, group: ConnectionGroup) -> None:
        """Opens a connection for a group, as soon as the limit allows one more connection."""
        self.waiting.append(GroupConnectionRequest(group))
        self.serve_waiting()

    def fall_back(self, server: UpstreamServer, reason: str) -> None:
        """Uses HTTP/1.1 for a server from now on, also for its waiting work items, which were not sent."""
        assert self.connection_factory is not None
        self.counters.add("h2.fallbacks")
        self.connection_factory.negotiation.fall_back(server.name, reason, self.clock())
        if self.servers.get(server.name) is server:
            self._update_group(server)

    def _update_group(self, server: UpstreamServer) -> None:
        """Creates or removes a server's connection group, by the options and the server's known protocols."""
        factory, group = self.connection_factory, server.group
        is_multiplexed = factory is not None and factory.offer(server, self.clock()).is_multiplexed
        is_outdated = factory is not None and group is not None and group.options != factory.http2_options
        if group is not None and (not is_multiplexed or is_outdated):
            server.group = None
            group.close_idle()
            for request in list(group.waiting):  # none was sent, so that all can be started again
                self._begin(self.withdraw(request).item, server.name)
        if is_multiplexed and server.group is None and factory is not None:
            new_group = factory.new_group(self, server)
            server.group = new_group
            self.groups.append(new_group)
            server.idle, idle = [], server.idle
            for connection in idle:
                connection.close()

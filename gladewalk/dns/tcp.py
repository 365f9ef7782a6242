"""DNS over TCP (RFC 7766) and TLS (RFC 7858): messages with a length prefix.

Queries of one connection are processed concurrently, and each response is sent as soon as it is ready
(RFC 7766, sections 6.2.1.1 and 7). While the client does not read, its queries are not processed: their
responses would wait in the buffer and become outdated by a drain or a purge. A query whose response becomes
ready during that time is processed again.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from typing import cast

from ..core.counters import Counters
from ..core.deadlines import Deadlines
from .query import QueryHandler, TransportKind
from .settings import StreamLimits

LENGTH_BYTES = 2  # before each message (RFC 1035, section 4.2.2)
MIN_IDLE_CHECK_MS = 10.0


class StreamConnections:
    """All TCP and TLS connections of a front, within the limits of its settings.

    Args:
        handler: Processes the queries.
        limits: Limits on connections; may be replaced at any time.
        counters: Where connections are counted.
        clock: Returns the present time in ms.
        deadlines: Runs the checks for idle connections.
    """

    def __init__(
        self,
        handler: QueryHandler,
        limits: StreamLimits,
        counters: Counters,
        clock: Callable[[], float],
        deadlines: Deadlines,
    ) -> None:
        self.handler, self.limits, self.counters = handler, limits, counters
        self.clock, self.deadlines = clock, deadlines
        self._connections: set[StreamConnection] = set()
        self._count_by_client: Counter[str] = Counter()

    def make_connection(self, transport_kind: TransportKind) -> StreamConnection:
        """Returns the protocol of a new connection."""
        return StreamConnection(self, transport_kind)

    def admit(self, connection: StreamConnection) -> bool:
        """Adds a connection; returns False if it exceeds a limit and must be closed."""
        self._connections.add(connection)
        self._count_by_client[connection.client_address] += 1
        if len(self._connections) > self.limits.max_connections:
            self.counters.add("dns.tcp_turned_away")
        elif self._count_by_client[connection.client_address] > self.limits.max_connections_per_client:
            self.counters.add("dns.tcp_turned_away_client")
        else:
            self.counters.add(f"dns.{connection.transport_kind.value}_connections")
            return True
        return False

    def remove(self, connection: StreamConnection) -> None:
        """Removes a closed connection."""
        self._connections.discard(connection)
        self._count_by_client[connection.client_address] -= 1
        if not self._count_by_client[connection.client_address]:
            del self._count_by_client[connection.client_address]

    def close(self) -> None:
        """Aborts all connections."""
        for connection in list(self._connections):
            connection.close()


class StreamQuery:
    """The client and transport of one query of a connection."""

    __slots__ = ("connection", "is_answered", "wire")

    def __init__(self, connection: StreamConnection, wire: bytes) -> None:
        self.connection, self.wire, self.is_answered = connection, wire, False

    @property
    def client_address(self) -> str:
        """The client's IP address."""
        return self.connection.client_address

    @property
    def transport(self) -> TransportKind:
        """The transport over which the query was received."""
        return self.connection.transport_kind

    def send(self, wire: bytes) -> None:
        """Sends the response."""
        self.connection.on_response(self, wire)

    def drop(self) -> None:
        """Ends the query without a response."""
        self.connection.on_response(self, None)


class StreamConnection(asyncio.Protocol):
    """One connection over TCP or TLS."""

    def __init__(self, connections: StreamConnections, transport_kind: TransportKind) -> None:
        self.transport_kind = transport_kind
        self.client_address = ""
        self._connections = connections
        self._transport: asyncio.Transport | None = None
        self._buffer = b""
        self._queued: deque[bytes] = deque()  # complete queries that are not yet being processed
        self._open_count = 0  # queries that are being processed
        self._is_write_paused = self._is_dispatching = self._is_half_closed = False
        self._last_query_ms = 0.0  # when the last complete query was received; partial ones do not count

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admits the connection, or aborts it if it is over a limit."""
        self._transport = cast(asyncio.Transport, transport)
        self.client_address = str(self._transport.get_extra_info("peername")[0])
        # A limit of 0 would pause writing forever over TLS, where it applies to the TLS layer's own buffer.
        self._transport.set_write_buffer_limits(high=1 if self.transport_kind is TransportKind.TLS else 0)
        if not self._connections.admit(self):
            return self.close()
        self._last_query_ms = self._connections.clock()
        self._check_idle()

    def connection_lost(self, error: Exception | None) -> None:
        """Discards queued queries."""
        self._transport = None
        self._queued.clear()
        self._connections.remove(self)

    def pause_writing(self) -> None:
        """Stops processing queries, as the client does not read."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Processes the queries that were queued during the pause."""
        self._is_write_paused = False
        self._dispatch_queued()

    def data_received(self, data: bytes) -> None:
        """Queues each complete query, and processes as many as the limits permit."""
        self._buffer += data
        while (wire := self._take_message()) is not None:
            self._queued.append(wire)
            self._last_query_ms = self._connections.clock()
        self._dispatch_queued()

    def eof_received(self) -> bool:
        """Keeps the connection open until all queries are answered (RFC 7766, section 6.2.4)."""
        self._is_half_closed = True
        self._close_if_finished()
        return True

    def close(self) -> None:
        """Aborts the connection."""
        if self._transport is not None:
            self._transport.abort()

    def on_response(self, query: StreamQuery, wire: bytes | None) -> None:
        """Writes a response, or queues its query again if the client does not read; None: no response."""
        if query.is_answered:
            return
        query.is_answered = True
        self._open_count -= 1
        if self._transport is None:
            return
        if wire is not None and self._is_write_paused:
            self._queued.appendleft(query.wire)
        elif wire is not None and not self._transport.is_closing():
            self._transport.write(len(wire).to_bytes(LENGTH_BYTES, "big") + wire)
        self._dispatch_queued()

    def _take_message(self) -> bytes | None:
        """Removes the first complete message from the buffer; None if there is none."""
        if len(self._buffer) < LENGTH_BYTES:
            return None
        end = LENGTH_BYTES + int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        if len(self._buffer) < end:
            return None
        wire, self._buffer = self._buffer[LENGTH_BYTES:end], self._buffer[end:]
        return wire

    def _dispatch_queued(self) -> None:
        """Processes queued queries within the limits, and stops reading while too many are queued."""
        if self._is_dispatching:  # called by a response sent from within the loop below
            return
        self._is_dispatching = True
        max_open = self._connections.limits.max_open_queries
        while (
            self._queued
            and self._open_count < max_open
            and not self._is_write_paused
            and self._transport is not None
        ):
            self._open_count += 1
            wire = self._queued.popleft()
            self._connections.handler.handle_query(wire, StreamQuery(self, wire))
        self._is_dispatching = False
        if self._transport is None:
            return
        if len(self._queued) > max_open:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
        self._close_if_finished()

    def _close_if_finished(self) -> None:
        is_finished = self._is_half_closed and not self._open_count and not self._queued
        if is_finished and self._transport is not None:
            self._transport.close()

    def _check_idle(self) -> None:
        """Closes the connection after the idle timeout if no query is open or the client does not read."""
        if self._transport is None:
            return
        now_ms, timeout_ms = self._connections.clock(), self._connections.limits.idle_timeout_ms
        is_idle = now_ms - self._last_query_ms >= timeout_ms
        if is_idle and (not self._open_count or self._is_write_paused):
            self._connections.counters.add("dns.tcp_idle")
            return self.close()
        next_check_ms = max(now_ms + MIN_IDLE_CHECK_MS, self._last_query_ms + timeout_ms)
        self._connections.deadlines.add(next_check_ms, self._check_idle)

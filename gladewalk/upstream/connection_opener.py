"""Opens connections to servers, with TLS if it is configured, and assigns them to waiting work items."""

from __future__ import annotations

import asyncio
import errno
import ssl
from typing import TYPE_CHECKING, Any, Protocol

from .http1 import Http1Connection
from .upstream_server import ConnectionRequest, ServerPool, UpstreamServer
from .work_items import WorkItem

if TYPE_CHECKING:  # HTTP/2 and its library are not imported while HTTP/2 is off
    from .connection_factory import ConnectionFactory
    from .connection_group import ConnectionGroup
    from .http2 import Http2Connection


# Errors of this process or machine, which say nothing about the server (Linux, socket(2) and connect(2)).
LOCAL_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EINTR}
)


class GroupConnectionRequest:
    """A connection group's request for one more connection; no single work item waits for it."""

    def __init__(self, group: ConnectionGroup) -> None:
        self.group, self.server = group, group.server
        self.task: asyncio.Task[None] | None = None


class OpenerPool(ServerPool, Protocol):
    """The part of the pool that the opener uses."""

    @property
    def http1_class(self) -> type[Http1Connection]:
        """The class of HTTP/1.1 connections to the servers."""

    @property
    def connection_factory(self) -> ConnectionFactory | None:
        """Protocols and TLS; None: HTTP/1.1 without TLS for every server."""

    def write(self, connection: Http1Connection | Http2Connection, item: WorkItem) -> None:
        """Sends a work item on an open connection."""

    def fail_request(self, request: ConnectionRequest) -> None:
        """Fails a work item that gets no connection."""

    def fall_back(self, server: UpstreamServer, reason: str) -> None:
        """Uses HTTP/1.1 for a server from now on."""


class ConnectionOpener:
    """Dials servers; each connection that is being opened counts against the pool's limit."""

    def __init__(self, pool: OpenerPool) -> None:
        self.pool = pool
        self.opening: set[ConnectionRequest | GroupConnectionRequest] = set()

    def open(self, request: ConnectionRequest | GroupConnectionRequest) -> None:
        """Starts opening a requested connection."""
        self.pool.counters.add("caches.connects")
        self.opening.add(request)
        if isinstance(request, ConnectionRequest):
            request.queue = None
            steps = self._connect(request)
        else:
            steps = self._connect_group(request)
        request.task = asyncio.get_running_loop().create_task(steps)
        # A task that is cancelled before its first step runs none of its `finally` blocks.
        request.task.add_done_callback(lambda _: self._finish(request))

    def _finish(self, request: ConnectionRequest | GroupConnectionRequest) -> None:
        """Removes a request whose connection is open or could not be opened; serves the waiting requests."""
        if request in self.opening:
            self.opening.remove(request)
            self.pool.serve_waiting()

    async def _connect(self, request: ConnectionRequest) -> None:
        connection: Http1Connection | None = None
        pool, server = self.pool, request.server
        try:
            # Connects again if the server's address has changed in the meantime.
            while connection is None or connection.address != server.address:
                if connection is not None:
                    connection.close()
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: pool.http1_class(server), *server.address, **self._tls_arguments(server)
                )
        except (OSError, ValueError) as error:  # ValueError: a name that cannot be looked up
            connection = None
            request.is_local_failure = isinstance(error, OSError) and error.errno in LOCAL_ERRORS
            self._count_tls_failure(error)
        finally:
            self._finish(request)
        if request.item.carrier is not request:  # cancelled or sent on another: this one becomes idle
            pool.deadlines.drop(request.timer)
            if connection is not None and connection.transport is not None:
                server.release(connection)
        elif connection is None or connection.transport is None:
            pool.fail_request(request)
        else:
            pool.deadlines.drop(request.timer)
            pool.write(connection, request.item)

    async def _connect_group(self, request: GroupConnectionRequest) -> None:
        """Opens an HTTP/2 connection, or an HTTP/1.1 connection if the server selects that by ALPN."""
        pool, group, server = self.pool, request.group, request.server
        factory = pool.connection_factory
        assert factory is not None
        opened: Http2Connection | Http1Connection | None = None
        try:
            async with asyncio.timeout(pool.config.connect_timeout_ms / 1000.0):
                _, selector = await asyncio.get_running_loop().create_connection(
                    lambda: factory.new_selector(group), *server.address, **self._tls_arguments(server)
                )
            opened = selector.connection
        except (OSError, ValueError) as error:
            self._count_tls_failure(error)
        finally:
            self._finish(request)
        if opened is None or opened.transport is None:
            pool.counters.add("caches.connects_failed")
            group.connection_failed()
        elif isinstance(opened, Http1Connection):
            group.allocator.dial_ended()
            pool.fall_back(server, "ALPN")
            server.release(opened)

    def _tls_arguments(self, server: UpstreamServer) -> dict[str, Any]:
        """Returns the arguments of `create_connection` for TLS; none for a server without TLS."""
        factory = self.pool.connection_factory
        return {} if factory is None else factory.tls_arguments(server, self.pool.clock())

    def _count_tls_failure(self, error: Exception) -> None:
        if isinstance(error, ssl.SSLError):
            self.pool.counters.add("tls.handshakes_failed")
            if isinstance(error, ssl.SSLCertVerificationError):
                self.pool.counters.add("tls.certificates_refused")

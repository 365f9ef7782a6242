"""An asyncio event loop with virtual time and an in-memory network.

Virtual time does not advance while any callback is ready; then it jumps to the next timer, so a run takes
only as long as its computations. All random draws come from one seed, and each network event is added to a
hash, the trace: two runs with the same seed have the same trace, in any process and on any machine. Code runs
in the name of a host (`current_host`, which tasks and timers inherit), so that network conditions can differ
by sender and receiver.
"""

from __future__ import annotations

import asyncio
import contextvars
import errno
import hashlib
import os
import random
import selectors
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, TypeVar
from weakref import WeakKeyDictionary

from ...config.platform import Address
from ...core.clocks import UnixInstant
from ...errors import GladewalkError
from ...net.environment import Environment
from .network import NetworkConditions
from .streams import PendingConnection, Piece, VirtualListener, VirtualTransport, open_connection_pair

START_UNIX_MS = 1_764_576_000_000.0  # Unix time at which every run begins
FIRST_PORT = 10_000  # ports that the loop assigns are above it
CLIENT_HOST = "127.0.0.1"
CONNECT_RETRY_S = 1.0  # as a kernel retransmits SYN

ResultT = TypeVar("ResultT")
ProtocolFactory = Callable[[], asyncio.BaseProtocol]
current_host: contextvars.ContextVar[str] = contextvars.ContextVar("current_host", default="")


class DeadlockError(GladewalkError, RuntimeError):
    """Every task waits and no timer is set, so no task can ever continue."""


class VirtualSelector(selectors.BaseSelector):
    """Waits by advancing the loop's time; `now_s` is the loop's time."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._keys: dict[Any, selectors.SelectorKey] = {}

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advances time by `timeout` seconds.

        Raises:
            DeadlockError: `timeout` is None.
        """
        if timeout is None:
            raise DeadlockError("deadlock: every task is waiting and no timer is set")
        self.now_s += max(0.0, timeout)
        return []

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Stores a key; only the event loop's own wake-up socket is registered."""
        self._keys[fileobj] = key = selectors.SelectorKey(fileobj, 0, events, data)
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Removes a key."""
        return self._keys.pop(fileobj)

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        """Returns all keys."""
        return self._keys


class VirtualServer:
    """The server that `create_server` returns; its one socket provides only an address."""

    def __init__(self, loop: VirtualLoop, address: Address, factory: ProtocolFactory) -> None:
        self._loop, self._address = loop, address
        self.factory = factory
        self.host = current_host.get()
        self.context = contextvars.copy_context()
        self.sockets = (VirtualListener(address),)

    def close(self) -> None:
        """Stops listening."""
        if self._loop.servers.get(self._address) is self:
            del self._loop.servers[self._address]

    async def wait_closed(self) -> None:
        """Returns at once: a run ends without waiting for open connections."""


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs a director and its stand-ins in virtual time.

    Args:
        seed: Seed of all random draws.
        network: Delays and cuts; the default conditions if None.
    """

    def __init__(self, seed: int, network: NetworkConditions | None = None) -> None:
        self._virtual_selector = VirtualSelector()
        super().__init__(self._virtual_selector)
        self.random = random.Random(seed)
        self.network = network or NetworkConditions(random.Random(self.random.random()))
        self.servers: dict[Address, VirtualServer] = {}
        self.transports: dict[VirtualTransport, None] = {}  # those that are not lost, in order of creation
        self.event_count = 0
        self.is_finished = False  # the run has ended: what it left open is being ended, and nothing recorded
        self._tasks: WeakKeyDictionary[asyncio.Task[Any], None] = WeakKeyDictionary()  # in order of creation
        self._listeners: dict[Address, tuple[VirtualListener, str]] = {}
        self._trace = hashlib.sha256()
        self._connection_count = 0
        self._last_port = FIRST_PORT

    def time(self) -> float:
        """Returns the virtual time in seconds since the loop's start."""
        return self._virtual_selector.now_s

    def unix_ms(self) -> float:
        """Returns the virtual Unix time in ms."""
        return START_UNIX_MS + self.time() * 1000.0

    def environment(self) -> Environment:
        """Returns the environment (clocks, listeners, random numbers) of a director in this loop."""
        return Environment(
            self.unix_ms,
            self.listen,
            lambda: random.Random(self.random.random()),
            lambda: UnixInstant(self.unix_ms()),
        )

    def record_event(
        self, kind: str, connection_id: int, sender: str, receiver: str, piece: Piece = b""
    ) -> None:
        """Adds a network event to the trace."""
        if self.is_finished:
            return
        self.event_count += 1
        now_us = round(self.time() * 1e6)
        self._trace.update(f"{now_us} {kind} {connection_id} {sender} {receiver} ".encode())
        self._trace.update(piece if isinstance(piece, bytes) else piece.encode())
        self._trace.update(b"\n")

    def trace(self) -> str:
        """Returns the hash of all events so far, in hexadecimal digits."""
        return self._trace.hexdigest()

    def run_as(self, host: str, work: Coroutine[Any, Any, ResultT]) -> asyncio.Task[ResultT]:
        """Starts a task in the name of a host; everything that the task starts runs in that name too."""
        context = contextvars.copy_context()
        context.run(current_host.set, host)
        return self.create_task(work, context=context)

    def create_task(self, coro: Any, **options: Any) -> asyncio.Task[Any]:
        """Starts a task; the loop knows its tasks in their order, in which they are cancelled at the end."""
        task = super().create_task(coro, **options)
        self._tasks[task] = None
        return task

    def finish(self) -> None:
        """Ends what the run left open, without recording it: listeners, tasks, connections, then timers.

        Tasks and connections are ended in the order in which they were made. Those that are made while others
        end are ended as well, so that nothing of the run depends on the garbage collector after it.
        """
        self.is_finished = True
        self.servers.clear()
        for listener, _ in self._listeners.values():
            listener.close()
        while (open_tasks := [task for task in list(self._tasks) if not task.done()]) or self.transports:
            for task in open_tasks:
                task.cancel()
            if open_tasks:
                self.run_until_complete(asyncio.gather(*open_tasks, return_exceptions=True))
            for transport in list(self.transports):
                transport.end()
        for handle in (*self._scheduled, *self._ready):  # type: ignore[attr-defined]
            handle.cancel()

    # Listening.

    def _assign_port(self, host: str, port: int) -> Address:
        if not port:
            self._last_port += 1
            port = self._last_port
        return host, port

    def listen(self, address: Address, backlog: int, inherited_fd: int | None) -> VirtualListener:
        """Opens an in-memory listener (`Environment.listen`).

        Raises:
            OSError: The address is in use.
        """
        assert inherited_fd is None, "a virtual listener cannot inherit a descriptor"
        listener = VirtualListener(self._assign_port(*address))
        current = self._listeners.get(listener.address)
        if current is not None and not current[0].is_closed:
            raise _address_in_use()
        self._listeners[listener.address] = listener, current_host.get()
        return listener

    def add_reader(self, fd: Any, callback: Callable[..., Any], *args: Any) -> None:  # type: ignore[override]
        """Calls `callback` in the caller's context whenever a virtual listener has pending connections."""
        if not isinstance(fd, VirtualListener):
            return super().add_reader(fd, callback, *args)
        context = contextvars.copy_context()

        def on_ready() -> None:
            self.call_soon(callback, *args, context=context)

        fd.on_ready = on_ready
        if fd.queue:
            on_ready()

    def remove_reader(self, fd: Any) -> bool:
        """Ends the callbacks of a virtual listener."""
        if not isinstance(fd, VirtualListener):
            return super().remove_reader(fd)
        fd.on_ready = None
        return True

    async def connect_accepted_socket(  # type: ignore[override]
        self, protocol_factory: ProtocolFactory, sock: PendingConnection, **options: Any
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Creates the protocol of a connection that a virtual listener has accepted."""
        protocol = protocol_factory()
        sock.transport.start(protocol)
        return sock.transport, protocol

    async def create_server(  # type: ignore[override]
        self, protocol_factory: ProtocolFactory, host: str = "", port: int = 0, **options: Any
    ) -> VirtualServer:
        """Starts an in-memory server.

        Raises:
            OSError: The address is in use.
        """
        address = self._assign_port(host, port)
        if address in self.servers:
            raise _address_in_use()
        server = self.servers[address] = VirtualServer(self, address, protocol_factory)
        return server

    # Connecting.

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: ProtocolFactory, host: str = "", port: int = 0, **options: Any
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Connects to an in-memory listener; waits for as long as either direction is cut.

        Raises:
            ConnectionRefusedError: There is no listener at the address.
        """
        client, address = current_host.get(), (host, port)
        server = await self._wait_for_handshake(client, address)
        self._connection_count += 1
        connection_id = self._connection_count
        self.record_event("connect", connection_id, client, server)
        source = self._assign_port(CLIENT_HOST, 0)
        client_end, server_end = open_connection_pair(self, connection_id, client, server, address, source)
        self._deliver(server_end, address)
        protocol = protocol_factory()
        client_end.start(protocol)
        return client_end, protocol

    async def _wait_for_handshake(self, client: str, address: Address) -> str:
        """Waits until a round trip ends with neither direction cut; returns the host at the address."""
        while True:
            server = self._host_at(address)
            request_ms = self.network.draw_delay_ms(client, server)
            response_ms = self.network.draw_delay_ms(server, client)
            await asyncio.sleep((request_ms + response_ms) / 1000.0)
            if not self.network.is_cut(client, server) and not self.network.is_cut(server, client):
                return server
            await asyncio.sleep(CONNECT_RETRY_S)

    def _deliver(self, server_end: VirtualTransport, address: Address) -> None:
        """Passes the server's end of a new connection to the listener at the address."""
        if (server := self.servers.get(address)) is not None:
            self.call_soon(server_end.start, server.factory(), context=server.context)
            return
        listener, _ = self._listeners.get(address, (None, ""))
        if listener is None or listener.is_closed:
            raise ConnectionRefusedError(errno.ECONNREFUSED, os.strerror(errno.ECONNREFUSED))
        listener.queue.append(PendingConnection(server_end))
        if listener.on_ready is not None:
            listener.on_ready()

    def _host_at(self, address: Address) -> str:
        if (server := self.servers.get(address)) is not None:
            return server.host
        entry = self._listeners.get(address)
        return entry[1] if entry is not None else ""

    # Replacements of other operations that use the operating system.

    def run_in_executor(self, executor: Any, func: Callable[..., Any], *args: Any) -> asyncio.Future[Any]:  # type: ignore[override]
        """Runs a function at once in this thread; disk access takes no virtual time."""
        future: asyncio.Future[Any] = self.create_future()
        try:
            future.set_result(func(*args))
        except Exception as error:  # noqa: BLE001 - an executor passes any error to the future
            future.set_exception(error)
        return future

    def add_signal_handler(self, sig: int, callback: Callable[..., Any], *args: Any) -> None:  # type: ignore[override]
        """Does nothing: no signal arrives in a simulation."""


def _address_in_use() -> OSError:
    return OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))


def run_virtually(
    seed: int,
    work: Callable[[VirtualLoop], Coroutine[Any, Any, ResultT]],
    network: NetworkConditions | None = None,
) -> tuple[ResultT, VirtualLoop]:
    """Runs `work` to its end in a new loop; returns its result and the loop with its trace."""
    loop = VirtualLoop(seed, network)
    try:
        asyncio.set_event_loop(loop)
        try:
            return loop.run_until_complete(work(loop)), loop
        finally:
            loop.finish()
    finally:
        asyncio.set_event_loop(None)
        loop.close()

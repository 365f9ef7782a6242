"""An asyncio event loop whose time is virtual and whose network is memory.

Time stands still while anything can run, and then jumps to the next timer: minutes take as long as their work
does. Whatever is random comes from one seed, and each thing that happens on the network goes into a hash: two
runs of a seed have the same one, in whatever process and on however busy a machine. Code runs in the name of
a party (`party`, which tasks and timers inherit), so that paths can differ by who speaks to whom.
"""

from __future__ import annotations

import asyncio
import contextvars
import hashlib
import random
import selectors
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, TypeVar

from ...config.platform import Address
from ...net.environment import Environment
from .paths import Paths
from .streams import Piece, VirtualListener, Waiting, connect

START_MS = 1_764_576_000_000.0  # Unix ms at which every rehearsal begins
FIRST_PORT = 10_000
T = TypeVar("T")
Factory = Callable[[], asyncio.BaseProtocol]
party: contextvars.ContextVar[str] = contextvars.ContextVar("party", default="")


class Stuck(RuntimeError):
    """Nothing is left that could ever happen, and what was waited for has not."""


class Jump(selectors.BaseSelector):
    """Waits by moving the loop's time on."""

    def __init__(self) -> None:
        self.now = 0.0
        self.keys: dict[Any, selectors.SelectorKey] = {}

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise Stuck("every task waits, and no timer is set")
        self.now += max(0.0, timeout)
        return []

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        self.keys[fileobj] = key = selectors.SelectorKey(fileobj, 0, events, data)
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self.keys.pop(fileobj)

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self.keys


class VirtualServer:
    """What `create_server` returns; its one socket tells its address and no more."""

    def __init__(self, loop: VirtualLoop, address: Address, factory: Factory) -> None:
        self.loop, self.address, self.factory = loop, address, factory
        self.party = party.get()
        self.context = contextvars.copy_context()
        self.sockets = (VirtualListener(address),)

    def close(self) -> None:
        if self.loop.servers.get(self.address) is self:
            del self.loop.servers[self.address]

    async def wait_closed(self) -> None:
        """At once: it waits for nobody."""


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self, seed: int, paths: Paths | None = None) -> None:
        self.jump = Jump()
        super().__init__(self.jump)
        self.random = random.Random(seed)
        self.paths = paths or Paths(random.Random(self.random.random()))
        self.servers: dict[Address, VirtualServer] = {}
        self.listeners: dict[Address, tuple[VirtualListener, str]] = {}
        self.hash = hashlib.sha256()
        self.over = False  # what is left is being swept away, in no order
        self.events = self.connections = 0
        self.port = FIRST_PORT

    def time(self) -> float:
        return self.jump.now

    def unix_ms(self) -> float:
        return START_MS + self.jump.now * 1000.0

    def environment(self) -> Environment:
        """What a director in this loop takes from outside."""
        return Environment(self.unix_ms, self.listen, lambda: random.Random(self.random.random()))

    def note(self, kind: str, number: int, here: str, there: str, piece: Piece = b"") -> None:
        """One event of the network goes into the trace's hash."""
        if self.over:
            return
        self.events += 1
        at_us = round(self.jump.now * 1e6)
        self.hash.update(f"{at_us} {kind} {number} {here} {there} ".encode())
        self.hash.update(piece if isinstance(piece, bytes) else piece.encode())
        self.hash.update(b"\n")

    def trace(self) -> str:
        return self.hash.hexdigest()

    def as_party(self, name: str, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """A task in the name of a party, and so all that it begins."""
        context = contextvars.copy_context()
        context.run(party.set, name)
        return self.create_task(work, context=context)

    # Listening.

    def _address(self, host: str, port: int) -> Address:
        if not port:
            self.port += 1
            port = self.port
        return host, port

    def listen(self, address: Address, backlog: int, inherited_fd: int | None) -> VirtualListener:
        assert inherited_fd is None, "no descriptor is handed on in memory"
        listener = VirtualListener(self._address(*address))
        if listener.address in self.listeners and not self.listeners[listener.address][0].closed:
            raise OSError(98, "Address already in use")
        self.listeners[listener.address] = listener, party.get()
        return listener

    def add_reader(self, fd: Any, callback: Callable[..., Any], *args: Any) -> None:  # type: ignore[override]
        if not isinstance(fd, VirtualListener):
            return super().add_reader(fd, callback, *args)
        context = contextvars.copy_context()

        def ready() -> None:
            self.call_soon(callback, *args, context=context)

        fd.ready = ready
        if fd.queue:
            ready()

    def remove_reader(self, fd: Any) -> bool:
        if not isinstance(fd, VirtualListener):
            return super().remove_reader(fd)
        fd.ready = None
        return True

    async def connect_accepted_socket(  # type: ignore[override]
        self, protocol_factory: Factory, sock: Waiting, **given: Any
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        protocol = protocol_factory()
        sock.far.start(protocol)
        return sock.far, protocol

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Factory, host: str = "", port: int = 0, **given: Any
    ) -> VirtualServer:
        address = self._address(host, port)
        if address in self.servers:
            raise OSError(98, "Address already in use")
        server = self.servers[address] = VirtualServer(self, address, protocol_factory)
        return server

    # Connecting.

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Factory, host: str = "", port: int = 0, **given: Any
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """`ConnectionRefusedError` where nobody listens; a path that passes nothing keeps it waiting."""
        here, address = party.get(), (host, port)
        while True:
            there = self._who_is_at(address)
            await asyncio.sleep((self.paths.wait_ms(here, there) + self.paths.wait_ms(there, here)) / 1000.0)
            if not self.paths.cut(here, there) and not self.paths.cut(there, here):
                break
            await asyncio.sleep(1.0)  # the system asks again
        self.connections += 1
        number = self.connections
        self.note("connect", number, here, there)
        self.port += 1
        near, far = connect(self, number, here, there, address, ("127.0.0.1", self.port))
        if (server := self.servers.get(address)) is not None:
            self.call_soon(far.start, server.factory(), context=server.context)
        elif (entry := self.listeners.get(address)) is not None and not entry[0].closed:
            entry[0].queue.append(Waiting(far))
            if entry[0].ready is not None:
                entry[0].ready()
        else:
            raise ConnectionRefusedError(111, "Connection refused")
        protocol = protocol_factory()
        near.start(protocol)
        return near, protocol

    def _who_is_at(self, address: Address) -> str:
        if (server := self.servers.get(address)) is not None:
            return server.party
        entry = self.listeners.get(address)
        return entry[1] if entry is not None else ""

    # What else would reach outside.

    def run_in_executor(self, executor: Any, func: Callable[..., Any], *args: Any) -> asyncio.Future[Any]:  # type: ignore[override]
        """At once and in this thread: a disk takes no virtual time."""
        future: asyncio.Future[Any] = self.create_future()
        try:
            future.set_result(func(*args))
        except Exception as error:
            future.set_exception(error)
        return future

    def add_signal_handler(self, sig: int, callback: Callable[..., Any], *args: Any) -> None:  # type: ignore[override]
        """A rehearsal calls what a signal would have called."""


def rehearse(
    seed: int, work: Callable[[VirtualLoop], Coroutine[Any, Any, T]], paths: Paths | None = None
) -> tuple[T, VirtualLoop]:
    """Run `work` to its end in a loop of its own: what it returns, and the loop with its trace."""
    loop = VirtualLoop(seed, paths)
    try:
        asyncio.set_event_loop(loop)
        done = loop.run_until_complete(work(loop))
        loop.over = True
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
        return done, loop
    finally:
        asyncio.set_event_loop(None)
        loop.close()

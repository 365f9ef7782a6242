"""Relays between two directors, which apply the current faults of the path between them.

A relay forwards data that is sent to its port, or drops, duplicates or delays it, or buffers it until a cut
ends. Each direction has a path of its own, so that it can be cut alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any, cast

from ..config.platform import Address

WATCH_INTERVAL_S = 0.01
CUT_POLL_S = 0.02
BACKLOG = 100  # connections
READ_BYTES = 65_536
LOOPBACK = "127.0.0.1"
PORT_RANGE = (20_000, 32_000)  # below the range from which the system assigns ports


@dataclass(slots=True, frozen=True)
class PathEffect:
    """The effect of one fault on a path. Effects on one path add up, and each ends independently."""

    is_cut: bool = False
    loss_rate: float = 0.0  # fraction of datagrams that are dropped
    duplicate_rate: float = 0.0  # fraction of datagrams that are sent twice
    delay_ms: float = 0.0
    jitter_ms: float = 0.0  # largest additional delay, drawn for each datagram, so that they are reordered


@dataclass(slots=True)
class NetworkPath:
    """One direction between two directors, with the current effects on all its data."""

    effects: list[PathEffect] = field(default_factory=list)

    @property
    def is_cut(self) -> bool:
        """Whether any effect cuts the path."""
        return any(effect.is_cut for effect in self.effects)

    def draw_loss(self, rng: random.Random) -> bool:
        """Draws whether a datagram is dropped."""
        return any(effect.is_cut or rng.random() < effect.loss_rate for effect in self.effects)

    def draw_copies(self, rng: random.Random) -> int:
        """Draws how often a datagram is sent."""
        return 1 + sum(rng.random() < effect.duplicate_rate for effect in self.effects)

    def draw_delay_ms(self, rng: random.Random) -> float:
        """Draws the delay of a datagram or a piece of a stream."""
        return sum(effect.delay_ms + rng.uniform(0.0, effect.jitter_ms) for effect in self.effects)


class DatagramRelay(asyncio.DatagramProtocol):
    """Forwards datagrams from a port of its own to `target`, with the effects of `path`."""

    def __init__(self, target: Address, rng: random.Random, path: NetworkPath) -> None:
        self._target, self._rng, self._path = target, rng, path
        self._transport: asyncio.DatagramTransport | None = None
        self.received_datagrams = self.forwarded_datagrams = self.dropped_datagrams = 0
        self.received_bytes = 0

    async def open(self, port: int = 0) -> Address:
        """Listens at a port, or at any free one, and returns the address."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(LOOPBACK, port))
        return cast(Address, transport.get_extra_info("sockname")[:2])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport (asyncio's callback)."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: tuple[Any, ...]) -> None:
        """Drops a datagram, or forwards each of its copies after its delay (asyncio's callback)."""
        self.received_datagrams += 1
        self.received_bytes += len(data)
        if self._path.draw_loss(self._rng):
            self.dropped_datagrams += 1
            return
        for _ in range(self._path.draw_copies(self._rng)):
            delay_ms = self._path.draw_delay_ms(self._rng)
            if delay_ms <= 0.0:
                self._send(data)
            else:
                asyncio.get_running_loop().call_later(delay_ms / 1000.0, self._send, data)

    def _send(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self.forwarded_datagrams += 1
            self._transport.sendto(data, self._target)

    def close(self) -> None:
        """Stops listening."""
        if self._transport is not None:
            self._transport.close()


class StreamRelay:
    """Forwards TCP connections to `target`; each direction's bytes have the effects of that direction's path.

    During a cut bytes are buffered and none is lost, as with TCP; the endpoints' own timeouts end the
    connection. While either direction is cut, connection attempts are neither accepted nor refused: the
    accept queue is full, and the kernel drops packets to a full queue, as a path that loses everything would.
    If no process listens at the target, a connection is closed at once.
    """

    def __init__(
        self, target: Address, forward_path: NetworkPath, backward_path: NetworkPath, rng: random.Random
    ) -> None:
        self._target, self._rng = target, rng
        self._forward_path, self._backward_path = forward_path, backward_path
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._tasks: set[asyncio.Task[None]] = set()
        self._queue_filler: socket.socket | None = None  # fills the accept queue, which has one place

    async def open(self, port: int) -> None:
        """Listens at a port."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((LOOPBACK, port))
        self._socket.setblocking(False)
        self._start_accepting()
        self._spawn(self._watch_paths())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _watch_paths(self) -> None:
        while True:
            is_cut = self._forward_path.is_cut or self._backward_path.is_cut
            if is_cut and self._queue_filler is None:
                self._stop_accepting()
            elif not is_cut and self._queue_filler is not None:
                self._start_accepting()
            await asyncio.sleep(WATCH_INTERVAL_S)

    def _stop_accepting(self) -> None:
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.listen(0)  # an accept queue of one place, which the filler occupies
        self._queue_filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._queue_filler.setblocking(False)
        self._queue_filler.connect_ex(self._socket.getsockname())

    def _start_accepting(self) -> None:
        if self._queue_filler is not None:
            self._queue_filler.close()
            self._queue_filler = None
            while self._accept_next() is not None:
                pass  # discards connections of clients that have timed out during the cut
        self._socket.listen(BACKLOG)
        asyncio.get_running_loop().add_reader(self._socket.fileno(), self._accept)

    def _accept_next(self) -> socket.socket | None:
        try:
            return self._socket.accept()[0]
        except (BlockingIOError, ConnectionAbortedError):
            return None

    def _accept(self) -> None:
        if (connection := self._accept_next()) is not None:
            connection.setblocking(False)
            self._spawn(self._serve(connection))

    async def _serve(self, connection: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=connection)
        target_writer: asyncio.StreamWriter | None = None
        try:
            with contextlib.suppress(OSError):  # nothing listens at the target, or an endpoint has closed
                target_reader, target_writer = await asyncio.open_connection(*self._target)
                await asyncio.gather(
                    self._copy(reader, target_writer, self._forward_path),
                    self._copy(target_reader, writer, self._backward_path),
                )
        finally:
            writer.close()
            if target_writer is not None:
                target_writer.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, path: NetworkPath
    ) -> None:
        while data := await reader.read(READ_BYTES):
            while path.is_cut:
                await asyncio.sleep(CUT_POLL_S)
            await asyncio.sleep(path.draw_delay_ms(self._rng) / 1000.0)
            writer.write(data)
            await writer.drain()
        writer.close()

    def close(self) -> None:
        """Stops listening and ends all connections."""
        if not self._queue_filler:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
        else:
            self._queue_filler.close()
        for task in self._tasks:
            task.cancel()
        self._socket.close()


# The ports that `free_port` has returned: one that a director has not bound yet would look free.
_assigned_ports: set[int] = set()


def free_port() -> int:
    """Returns a port that is free for datagrams and streams and that this process has not returned before."""
    rng = random.SystemRandom()
    while True:
        port = rng.randrange(*PORT_RANGE)
        if port not in _assigned_ports and _is_free(port):
            _assigned_ports.add(port)
            return port


def _is_free(port: int) -> bool:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams,
        socket.socket(socket.AF_INET, socket.SOCK_STREAM) as streams,
    ):
        try:
            datagrams.bind((LOOPBACK, port))
            streams.bind((LOOPBACK, port))
        except OSError:
            return False
        return True

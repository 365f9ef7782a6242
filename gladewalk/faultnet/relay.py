"""One ordered pair's path: datagrams sent to the relay's port go on to the target, or are dropped, delayed
or held back as the relay is set. A cut in one direction alone is a relay set to pass nothing."""

from __future__ import annotations

import asyncio
import random
import socket
from dataclasses import dataclass
from typing import Any, cast

Address = tuple[str, int]


@dataclass(slots=True)
class Path:
    """How a path behaves now; the nemesis changes it."""

    loss: float = 0.0  # a part of datagrams dropped
    delay_ms: float = 0.0
    jitter_ms: float = 0.0  # drawn anew for each datagram, so that some pass others
    cut: bool = False


class Relay(asyncio.DatagramProtocol):
    """Listens at a port of its own and sends on to `target` from it."""

    def __init__(self, target: Address, rng: random.Random) -> None:
        self.target, self.random, self.path = target, rng, Path()
        self.transport: asyncio.DatagramTransport | None = None
        self.passed = self.dropped = 0

    async def open(self) -> Address:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        assert self.transport is not None
        return cast(Address, self.transport.get_extra_info("sockname")[:2])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: tuple[Any, ...]) -> None:
        path = self.path
        if path.cut or self.random.random() < path.loss:
            self.dropped += 1
            return
        wait = path.delay_ms + self.random.uniform(0.0, path.jitter_ms)
        if wait <= 0.0:
            return self._send(data)
        asyncio.get_running_loop().call_later(wait / 1000.0, self._send, data)

    def _send(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.passed += 1
            self.transport.sendto(data, self.target)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()


def free_port() -> int:
    """A port free for datagrams and streams, outside the range that the system gives to others."""
    rng = random.SystemRandom()
    while True:
        port = rng.randrange(20_000, 32_000)
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams,
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as streams,
        ):
            try:
                datagrams.bind(("127.0.0.1", port))
                streams.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port

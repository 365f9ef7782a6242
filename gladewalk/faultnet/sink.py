"""The stand-in where acts of exclusive duties land: a fence, and the record of what came, by wall time."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any, cast

from ..leases.fence import Fence


class Sink(asyncio.DatagramProtocol):
    """An act is a JSON object: duty, token, actor, done_ms. Anything else is counted and dropped."""

    def __init__(self) -> None:
        self.fence = Fence()
        self.malformed = 0
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self) -> tuple[str, int]:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        assert self.transport is not None
        return cast(tuple[str, int], self.transport.get_extra_info("sockname")[:2])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: tuple[Any, ...]) -> None:
        try:
            act = json.loads(data)
            self.fence.offer(str(act["duty"]), int(act["token"]), str(act["actor"]), float(act["done_ms"]),
                             time.time() * 1000.0)  # fmt: skip
        except (ValueError, KeyError, TypeError):
            self.malformed += 1

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

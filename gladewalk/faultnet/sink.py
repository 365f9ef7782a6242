"""The stand-in where acts of exclusive duties land: a fence, the record of what came, what was done."""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import Any, cast

import msgspec

from ..leases.fence import Fence
from ..leases.messages import Acked, Act, decode, encode
from ..leases.works import PURGE, REPORT
from ..members.authenticator import AuthenticationKey, DropReason, MessageAuthenticator

WINDOW_MS = 30_000.0


class Sink(asyncio.DatagramProtocol):
    """A hub cache that purges, or the collector of reports: whoever waits for acts of a duty.

    Every act meets the fence first. Of what is taken, a purge is done once for each id however often it
    comes; a report's parts are put together. `deaf` drops all that comes, as a hub that is down would.
    """

    def __init__(self, keys: tuple[AuthenticationKey, ...]) -> None:
        self.fence, self.random = Fence(), random.SystemRandom()
        self.seal = MessageAuthenticator(keys, WINDOW_MS)
        self.malformed = 0
        self.deaf = False
        self.purged: dict[str, tuple[str, int, str]] = {}  # id -> what, token, actor: as it was first done
        self.again = 0  # purges that came again, and were not done again
        self.reports: list[dict[str, Any]] = []  # first parts, the latest last
        self.rows: dict[str, dict[str, Any]] = {}  # the latest row of each director
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self) -> tuple[str, int]:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        assert self.transport is not None
        return cast(tuple[str, int], self.transport.get_extra_info("sockname")[:2])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: tuple[Any, ...]) -> None:
        if self.deaf:
            return
        now = time.time() * 1000.0
        opened = self.seal.verify(data, now)
        try:
            act = None if isinstance(opened, DropReason) else decode(opened)
        except (msgspec.MsgspecError, ValueError):
            act = None
        if not isinstance(act, Act):
            self.malformed += 1
            return
        accepted = self.fence.offer(act.duty, act.token, act.actor, act.done_ms, now)
        if accepted and act.id:
            self._do(act)
        if act.number or not accepted:  # a bare act is answered only where it is refused
            told = Acked(act.duty, act.token, act.number, accepted, self.fence.highest.get(act.duty, 0))
            sealed = self.seal.sign(encode(told), now, self.random.getrandbits(64))
            assert self.transport is not None
            self.transport.sendto(sealed, source)

    def _do(self, act: Act) -> None:
        if act.duty == PURGE:
            self.again += act.id in self.purged
            self.purged.setdefault(act.id, (act.body.decode(), act.token, act.actor))
        elif act.duty == REPORT:
            body = json.loads(act.body)
            self.rows.update({row["name"]: row for row in body["rows"]})
            if body["part"] == 0:
                self.reports.append({**body, "token": act.token, "actor": act.actor})

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

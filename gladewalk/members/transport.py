"""Members on UDP: datagrams and timers around `Membership`, and nothing decided."""

from __future__ import annotations

import asyncio
import ipaddress
import random
from collections.abc import Callable
from typing import Any, cast

from ..counters import Counters
from ..deadlines import Deadlines, Key
from .messages import Malformed, News, decode, encode
from .seal import Refused, Seal
from .swim import Address, Change, Changed, Heard, Membership, Out, Send

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


class Members(asyncio.DatagramProtocol):
    """One member's socket. `changed` hears of changes, `heard` of news."""

    def __init__(
        self, core: Membership, seal: Seal, networks: tuple[Network, ...], clock: Callable[[], float],
        deadlines: Deadlines, counters: Counters,
    ) -> None:  # fmt: skip
        self.core, self.seal, self.networks = core, seal, networks
        self.clock, self.deadlines, self.counters = clock, deadlines, counters
        self.random = random.SystemRandom()
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: Key | None = None
        self.changed: Callable[[Change, str], None] = lambda change, name: None
        self.heard: Callable[[News], None] = lambda news: None

    async def listen(self) -> None:
        address = (self.core.me.host, self.core.me.port)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=address)
        assert self.transport is not None
        self.core.bound(self.transport.get_extra_info("sockname")[1])
        self._tick()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: tuple[Any, ...]) -> None:
        """Guards against whatever anybody may send: what is no member's message is counted and dropped."""
        self.counters.add("members.datagrams")
        sender = ipaddress.ip_address(source[0])
        if not any(sender in network for network in self.networks):
            return self.counters.add("members.dropped.network")
        opened = self.seal.open(data, self.clock())
        if isinstance(opened, Refused):
            return self.counters.add(f"members.dropped.{opened.value}")
        try:
            message = decode(opened)
        except Malformed:
            return self.counters.add("members.dropped.malformed")
        self._carry_out(self.core.receive(message, (source[0], source[1]), self.clock()))

    def error_received(self, error: Exception) -> None:
        self.counters.add("members.unreachable")  # as ICMP tells: a ping to it will find the same

    def tell(self, news: News) -> None:
        self.core.tell(news)

    def leave(self) -> None:
        """Say so and go."""
        self._carry_out(self.core.leave(self.clock()))
        self.deadlines.drop(self.timer)
        if self.transport is not None:
            self.transport.close()

    def live(self) -> dict[str, float]:
        """The members that are taken to live, by their weights; none where we may not take part."""
        if not self.core.active:
            return {}
        others = {n: m.rumour.weight for n, m in self.core.members.items() if m.live}
        return {**others, self.core.me.name: self.core.me.weight}

    def _tick(self) -> None:
        self.timer = None
        self._carry_out(self.core.tick(self.clock()))

    def _carry_out(self, out: list[Out]) -> None:
        for action in out:
            match action:
                case Send(to, message):
                    self._send(to, encode(message))
                case Changed(change, name):
                    self.counters.add(f"members.{change.value}")
                    self.changed(change, name)
                case Heard(news):
                    self.heard(news)
        self.deadlines.drop(self.timer)
        due = self.core.due()
        self.timer = self.deadlines.add(max(due, self.clock()), self._tick) if due < 1e15 else None

    def _send(self, to: Address, message: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        data = self.seal.seal(message, self.clock(), self.random.getrandbits(64))
        self.counters.add("members.sent")
        self.counters.add("members.sent_bytes", len(data))
        self.transport.sendto(data, to)

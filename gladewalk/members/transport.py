"""Members on UDP: datagrams and timers around `Membership`, and nothing decided. Full exchanges: `stream`."""

from __future__ import annotations

import asyncio
import ipaddress
import random
from collections.abc import Callable
from typing import Any, cast

import structlog

from ..core.counters import Counters
from ..core.deadlines import Deadlines, Key
from .messages import DATAGRAM_MOST, Malformed, News, decode, encode
from .seal import Refused, Seal
from .stream import Streams
from .swim import Membership
from .terms import Address, Change, Changed, Exchange, Heard, Knocking, Out, Send

Network = ipaddress.IPv4Network | ipaddress.IPv6Network
log = structlog.get_logger("gladewalk.members")
PORT_TRIES = 16  # where the system chooses: it must be free for datagrams and for streams


class Members(asyncio.DatagramProtocol):
    """One member's socket. `changed` hears of changes, `heard` of news."""

    def __init__(
        self, core: Membership, seal: Seal, networks: tuple[Network, ...], clock: Callable[[], float],
        deadlines: Deadlines, counters: Counters, dial: dict[Address, Address] | None = None,
    ) -> None:  # fmt: skip
        self.dial = dial or {}  # addresses that are reached elsewhere than where they say they are
        self.core, self.seal, self.networks = core, seal, networks
        self.clock, self.deadlines, self.counters = clock, deadlines, counters
        self.random = random.SystemRandom()
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: Key | None = None
        self.streams = Streams(self)
        self.changed: Callable[[Change, str], None] = lambda change, name: None
        self.heard: Callable[[News], None] = lambda news: None

    async def listen(self) -> None:
        """At one port for datagrams and streams."""
        host, port = self.core.me.host, self.core.me.port
        for tries in range(PORT_TRIES):
            chosen = await self.streams.listen(host, port)
            try:
                await asyncio.get_running_loop().create_datagram_endpoint(
                    lambda: self, local_addr=(host, chosen)
                )
                break
            except OSError:
                self.streams.close()
                if port or tries == PORT_TRIES - 1:
                    raise
        self.core.bound(chosen)
        me = self.core.me
        log.info("members_listening", by=me.name, host=me.host, port=me.port, run=me.run)
        self._tick()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: tuple[Any, ...]) -> None:
        """Guards against whatever anybody may send: what is no member's message is counted and dropped."""
        self.counters.add("members.datagrams")
        if not self.allowed(source[0]):
            return self.counters.add("members.dropped.network")
        opened = self.seal.open(data, self.clock())
        if isinstance(opened, Refused):
            return self.counters.add(f"members.dropped.{opened.value}")
        try:
            message = decode(opened)
        except Malformed:
            return self.counters.add("members.dropped.malformed")
        self.carry_out(self.core.receive(message, (source[0], source[1]), self.clock()))

    def allowed(self, host: str) -> bool:
        """Whether what comes from there is read at all."""
        sender = ipaddress.ip_address(host)
        return any(sender in network for network in self.networks)

    def sealed(self, message: bytes, most: int) -> bytes:
        data = self.seal.seal(message, self.clock(), self.random.getrandbits(64), most)
        self.counters.add("members.sent")
        self.counters.add("members.sent_bytes", len(data))
        return data

    def error_received(self, error: Exception) -> None:
        self.counters.add("members.unreachable")  # as ICMP tells: a ping to it will find the same

    def tell(self, news: News) -> None:
        self.core.tell(news)

    def leave(self) -> None:
        """Say so and go."""
        self.carry_out(self.core.leave(self.clock()))
        self.close()

    def close(self) -> None:
        """Without a word."""
        self.deadlines.drop(self.timer)
        self.streams.close()
        if self.transport is not None:
            self.transport.close()

    def _tick(self) -> None:
        self.timer = None
        self.carry_out(self.core.tick(self.clock()))

    def carry_out(self, out: list[Out]) -> None:
        for action in out:
            match action:
                case Send(to, message):
                    self._send(to, encode(message))
                case Exchange():
                    self.streams.begin(action)
                case Knocking():
                    self.streams.knock(action)
                case Changed(change, name):
                    self.counters.add(f"members.{change.value}")
                    self._note(change, name)
                    self.changed(change, name)
                case Heard(news):
                    self.heard(news)
        self.deadlines.drop(self.timer)
        due = self.core.due()
        self.timer = self.deadlines.add(max(due, self.clock()), self._tick) if due < 1e15 else None

    def _send(self, to: Address, message: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.sendto(self.sealed(message, DATAGRAM_MOST), self.dial.get(to, to))

    def _note(self, change: Change, name: str) -> None:
        """One line of the log for each change, with what speaks for it."""
        me, member = self.core.me, self.core.members.get(name)
        if member is None:
            log.info(f"member_{change.value}", member=name, by=me.name, incarnation=me.incarnation,
                     health=self.core.health)  # fmt: skip
            return
        log.info(
            f"member_{change.value}", member=name, by=me.name, incarnation=member.rumour.incarnation,
            accusers=sorted(member.accusers), knocked=member.outcome.value if member.outcome else None,
            heard_ms=round(self.clock() - member.heard_ms), health=self.core.health,
        )  # fmt: skip

"""Runs the membership protocol on a UDP socket and a timer; `Membership` makes all decisions.

TCP streams are handled by `stream`.
"""

from __future__ import annotations

import asyncio
import ipaddress
import math
import random
from collections.abc import Callable
from typing import Any, cast

import structlog

from ..core.counters import Counters
from ..core.deadlines import DeadlineKey, Deadlines
from .actions import (
    Action,
    Address,
    EventReceived,
    MemberChange,
    MemberChanged,
    SendDatagram,
    StartConfirmationProbe,
    StartSync,
)
from .authenticator import DropReason, MessageAuthenticator
from .errors import MalformedMessageError
from .messages import MAX_DATAGRAM_BYTES, UserEvent, decode, encode
from .stream import StreamTransport
from .swim import Membership

Network = ipaddress.IPv4Network | ipaddress.IPv6Network
log = structlog.get_logger("gladewalk.members")
MAX_PORT_ATTEMPTS = 16  # a port chosen by the operating system for streams may be in use for datagrams
NONCE_BITS = 64


class MembershipTransport(asyncio.DatagramProtocol):
    """One member's datagram socket and timer.

    `on_member_change` is called with each change and the member's name, `on_event` with each user event of
    another member. `translated_addresses` maps announced addresses to the addresses to send to.
    """

    def __init__(
        self,
        core: Membership,
        authenticator: MessageAuthenticator,
        networks: tuple[Network, ...],
        clock: Callable[[], float],
        deadlines: Deadlines,
        counters: Counters,
        translated_addresses: dict[Address, Address] | None = None,
    ) -> None:
        self.core, self.authenticator, self.networks = core, authenticator, networks
        self.clock, self.deadlines, self.counters = clock, deadlines, counters
        self.translated_addresses = translated_addresses or {}
        self.streams = StreamTransport(self)
        self.on_member_change: Callable[[MemberChange, str], None] = lambda change, name: None
        self.on_event: Callable[[UserEvent], None] = lambda event: None
        self._random = random.SystemRandom()
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: DeadlineKey | None = None
        self._is_binding = False  # messages received meanwhile are dropped: the port is not final yet

    async def listen(self) -> None:
        """Starts to listen at one port for datagrams and streams; raises `OSError` if that is impossible."""
        host, port = self.core.local.host, self.core.local.port
        self._is_binding = True
        try:
            self.core.bind_port(await self._bind(host, port))
        finally:
            self._is_binding = False
        local = self.core.local
        log.info("members_listening", by=local.name, host=local.host, port=local.port, run=local.run_id)
        self._tick()

    async def _bind(self, host: str, port: int) -> int:
        for attempt in range(1, MAX_PORT_ATTEMPTS + 1):
            bound_port = await self.streams.listen(host, port)
            try:
                await asyncio.get_running_loop().create_datagram_endpoint(
                    lambda: self, local_addr=(host, bound_port)
                )
            except OSError:
                self.streams.close()
                if port or attempt == MAX_PORT_ATTEMPTS:
                    raise
            else:
                break
        return bound_port

    def publish_event(self, event: UserEvent) -> None:
        """Spreads a user event to all members."""
        self.core.publish_event(event)

    def leave(self) -> None:
        """Announces the departure and closes the sockets."""
        self.carry_out(self.core.leave())
        self.close()

    def close(self) -> None:
        """Closes the sockets without announcing the departure."""
        self.deadlines.drop(self._timer)
        self.streams.close()
        if self._transport is not None:
            self._transport.close()

    # asyncio.DatagramProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the socket to send from."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: tuple[Any, ...]) -> None:
        """Passes an authentic message to the protocol; counts and drops all other datagrams."""
        self.counters.add("members.datagrams")
        if not self.is_allowed(source[0]):
            self.counters.add("members.dropped.network")
            return
        verified = self.verify(data, MAX_DATAGRAM_BYTES)
        if isinstance(verified, DropReason):
            self.counters.add(f"members.dropped.{verified.value}")
            return
        try:
            message = decode(verified)
        except MalformedMessageError:
            self.counters.add("members.dropped.malformed")
            return
        self.carry_out(self.core.receive(message, (source[0], source[1]), self.clock()))

    def error_received(self, error: Exception) -> None:
        """Counts an ICMP error; whether the member has failed is decided by pings only."""
        self.counters.add("members.unreachable")

    # Interface to `StreamTransport`.

    def is_allowed(self, host: str) -> bool:
        """Whether data from this host is accepted now."""
        if self._is_binding:
            return False
        sender = ipaddress.ip_address(host)
        return any(sender in network for network in self.networks)

    def reachable_address(self, address: Address) -> Address:
        """Address to send to for a member that announces this address."""
        return self.translated_addresses.get(address, address)

    def sign(self, message: bytes, max_bytes: int) -> bytes:
        """Authenticates a message and counts it as sent."""
        nonce = self._random.getrandbits(NONCE_BITS)
        signed = self.authenticator.sign(message, self.clock(), nonce, max_bytes)
        self.counters.add("members.sent")
        self.counters.add("members.sent_bytes", len(signed))
        return signed

    def verify(self, data: bytes, max_bytes: int) -> bytes | DropReason:
        """Returns the message, or the reason to drop it."""
        return self.authenticator.verify(data, self.clock(), max_bytes)

    def carry_out(self, actions: list[Action]) -> None:
        """Carries out the actions that the protocol returned, then sets the timer again."""
        for action in actions:
            match action:
                case SendDatagram(to, message):
                    self.send(to, encode(message))
                case StartSync(peer):
                    self.streams.start_sync(peer)
                case StartConfirmationProbe():
                    self.streams.start_probe(action)
                case MemberChanged(change, name):
                    self.counters.add(change.counter)
                    self.log_change(change, name)
                    self.on_member_change(change, name)
                case EventReceived(event):
                    self.on_event(event)
        self._set_timer()

    def send(self, to: Address, message: bytes) -> None:
        """Sends an encoded message in a datagram."""
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.sendto(self.sign(message, MAX_DATAGRAM_BYTES), self.reachable_address(to))

    def log_change(self, change: MemberChange, name: str) -> None:
        """Logs a change, with the suspectors, the probe outcome and the time since the last message."""
        local, member = self.core.local, self.core.members.by_name.get(name)
        if member is None:
            log.info(
                change.log_event,
                member=name,
                by=local.name,
                incarnation=local.incarnation,
                health=self.core.health_score,
            )
            return
        log.info(
            change.log_event,
            member=name,
            by=local.name,
            incarnation=member.update.incarnation,
            accusers=sorted(member.suspectors),
            knocked=member.probe_outcome.value if member.probe_outcome else None,
            heard_ms=round(self.clock() - member.last_received_ms),
            health=self.core.health_score,
        )

    def _set_timer(self) -> None:
        self.deadlines.drop(self._timer)
        due_ms = self.core.next_due_ms()
        self._timer = None
        if math.isfinite(due_ms):
            self._timer = self.deadlines.add(max(due_ms, self.clock()), self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.carry_out(self.core.tick(self.clock()))

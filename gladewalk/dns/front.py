"""DNS over UDP and TCP: a question becomes a `Locate` for the core, its action becomes the answer.

not a query, or too short to answer        dropped
cannot be parsed, not one question         FORMERR
another opcode                             NOTIMP
an EDNS version above 0                    BADVERS
outside the zone, or not class IN          REFUSED
in the zone, not of the name form          NXDOMAIN
another type, or the other address family  NODATA (no error, no answer, the SOA)
refused by the core, or its time is up     SERVFAIL
"""

from __future__ import annotations

import asyncio
import ipaddress
from collections import deque
from collections.abc import Callable
from typing import cast

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset

from .. import interface as api
from ..config import Address
from ..counters import Counters
from ..exchange import Exchange
from .names import DnsConfig, read_name

UDP_MOST = 1232  # the largest UDP answer, whatever a resolver says it takes: it passes without fragments
UDP_LEAST = 512
SOA_TTL_S = 5  # how long 'no such name' and 'no such type' may be kept
TCP_IDLE_MS = 10_000.0
TCP_MOST = 64  # connections at a time
OPEN_MOST = 2_048  # questions that wait for the core at a time
OWN_TYPES = (dns.rdatatype.A, dns.rdatatype.AAAA)


class Question:
    """One question from its arrival to its answer; it is the asker that the exchange knows."""

    def __init__(self, front: DnsFront, query: dns.message.Message, send: Send) -> None:
        self.front, self.query, self.send = front, query, send

    def named(self, address: Address | None, ttl_ms: float) -> None:
        box = address is not None and is_literal(address[0])  # a host's name is nothing that A can hold
        host = address[0] if box and address is not None else self.front.config.own_address
        self.front.counters.add("dns.named_box" if box else "dns.named_self")
        self.front.answer(self.query, self.send, host, int(ttl_ms / 1000.0))

    def refused(self) -> None:
        self.front.fail(self.query, self.send, dns.rcode.SERVFAIL)


def is_literal(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


Send = Callable[[dns.message.Message], None]


class DnsFront:
    def __init__(self, exchange: Exchange, config: DnsConfig, counters: Counters) -> None:
        self.exchange, self.config, self.counters = exchange, config, counters
        self.classes = frozenset(cls.name for cls in exchange.core.settings.classes)
        self.connections: set[TcpConnection] = set()
        self.address: Address = config.listen
        self._udp: asyncio.DatagramTransport | None = None
        self._tcp: asyncio.Server | None = None

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self._tcp = await loop.create_server(lambda: TcpConnection(self), *self.config.listen)
        host, port = self._tcp.sockets[0].getsockname()[:2]
        self.address = (host, port)  # port 0 is chosen once, and UDP takes the same
        self._udp, _ = await loop.create_datagram_endpoint(lambda: UdpSocket(self), local_addr=(host, port))

    def close(self) -> None:
        if self._udp is not None:
            self._udp.close()
        if self._tcp is not None:
            self._tcp.close()
        for connection in list(self.connections):
            connection.close()

    def receive(self, wire: bytes, peer: str, send: Send) -> None:
        """Take one message. Whatever it holds, it ends in an answer or a counter, not in an exception."""
        if len(wire) < 12 or wire[2] & 0x80:  # no header, or itself an answer
            return self.counters.add("dns.dropped")
        self.counters.add("dns.taken")
        opcode = wire[2] >> 3 & 0x0F
        if opcode != dns.opcode.QUERY:
            return self._fail_unread(wire, send, dns.rcode.NOTIMP)
        try:
            query = dns.message.from_wire(wire)
        except Exception:  # the parser's own errors are many: any of them means that it can't be read
            return self._fail_unread(wire, send, dns.rcode.FORMERR)
        if query.edns > 0:
            return self.fail(query, send, dns.rcode.BADVERS)
        if len(query.question) != 1:
            return self.fail(query, send, dns.rcode.FORMERR)
        asked = query.question[0]
        if asked.rdclass != dns.rdataclass.IN or not asked.name.is_subdomain(self.config.zone):
            return self.fail(query, send, dns.rcode.REFUSED)
        wanted = read_name(asked.name, self.config.zone, self.classes)
        if wanted is None:
            missing = asked.name != self.config.zone
            return self.fail(query, send, dns.rcode.NXDOMAIN if missing else dns.rcode.NOERROR)
        if asked.rdtype not in OWN_TYPES:
            return self.fail(query, send, dns.rcode.NOERROR)
        if len(self.exchange.asked) >= OPEN_MOST:
            return self.fail(query, send, dns.rcode.SERVFAIL)
        wait_ms, weight = self.config.wait_ms, self.config.transfers_per_answer
        self.exchange.locate(
            Question(self, query, send),
            wait_ms,
            lambda number: api.Locate(
                number, wanted.class_name, wanted.key, wait_ms, peer, wanted.part, wanted.group, weight
            ),
        )

    def answer(self, query: dns.message.Message, send: Send, host: str, ttl_s: int) -> None:
        """The address, or NODATA where it is of the other family than the one asked for."""
        asked = query.question[0]
        kind = dns.rdatatype.A if ipaddress.ip_address(host).version == 4 else dns.rdatatype.AAAA
        if kind != asked.rdtype:
            return self.fail(query, send, dns.rcode.NOERROR)
        reply = self._reply(query)
        reply.answer.append(dns.rrset.from_text(asked.name, ttl_s, "IN", dns.rdatatype.to_text(kind), host))
        self.counters.add("dns.answered")
        send(reply)

    def fail(self, query: dns.message.Message, send: Send, rcode: dns.rcode.Rcode) -> None:
        reply = self._reply(query)
        reply.set_rcode(rcode)
        if rcode in (dns.rcode.NOERROR, dns.rcode.NXDOMAIN):  # says how long 'no' may be kept
            zone = self.config.zone
            soa = f"ns.{zone} hostmaster.{zone} 1 3600 600 86400 {SOA_TTL_S}"
            reply.authority.append(dns.rrset.from_text(zone, SOA_TTL_S, "IN", "SOA", soa))
        else:
            reply.flags &= ~dns.flags.AA
        self.counters.add(f"dns.{'nodata' if rcode == dns.rcode.NOERROR else rcode.name.lower()}")
        send(reply)

    def _reply(self, query: dns.message.Message) -> dns.message.Message:
        reply = dns.message.make_response(query, our_payload=UDP_MOST)
        reply.flags |= dns.flags.AA
        return reply

    def _fail_unread(self, wire: bytes, send: Send, rcode: dns.rcode.Rcode) -> None:
        """An answer to what was not parsed: its id and opcode, no question."""
        reply = dns.message.Message(id=int.from_bytes(wire[:2], "big"))
        reply.flags = dns.flags.QR | (wire[2] & 0x01) << 8
        reply.set_opcode(dns.opcode.Opcode(wire[2] >> 3 & 0x0F))
        reply.set_rcode(rcode)
        self.counters.add(f"dns.{rcode.name.lower()}")
        send(reply)


def udp_wire(reply: dns.message.Message, most: int) -> bytes:
    """The answer within what the asker takes; else its head alone, which sends the asker to TCP."""
    try:
        return reply.to_wire(max_size=most)
    except dns.exception.TooBig:
        reply.flags |= dns.flags.TC
        reply.answer, reply.authority, reply.additional = [], [], []
        return reply.to_wire()


class UdpSocket(asyncio.DatagramProtocol):
    def __init__(self, front: DnsFront) -> None:
        self.front = front
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        def send(reply: dns.message.Message) -> None:
            if self.transport is not None and not self.transport.is_closing():
                told = reply.request_payload if reply.edns >= 0 else 0
                self.transport.sendto(udp_wire(reply, max(UDP_LEAST, min(told, UDP_MOST))), address)

        self.front.receive(data, address[0], send)

    def error_received(self, error: Exception) -> None:
        self.front.counters.add("dns.udp_errors")  # an asker that has gone: nothing is owed


class TcpConnection(asyncio.Protocol):
    """Messages with their length before them, answered in order, one at a time.

    The next one is looked at only when the last answer has left: so no decision grows old behind a slow
    reader, past a drain or a purge.
    """

    def __init__(self, front: DnsFront) -> None:
        self.front, self.rest = front, b""
        self.transport: asyncio.Transport | None = None
        self.waiting: deque[bytes] = deque()
        self.busy = self.full = self.taking = False
        self.peer = ""
        self._last = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.peer = str(self.transport.get_extra_info("peername")[0])
        self.transport.set_write_buffer_limits(high=0)
        self.front.connections.add(self)
        if len(self.front.connections) > TCP_MOST:
            self.front.counters.add("dns.tcp_turned_away")
            return self.close()
        self._watch()

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.waiting.clear()
        self.front.connections.discard(self)

    def pause_writing(self) -> None:
        self.full = True

    def resume_writing(self) -> None:
        self.full = False
        self._next()

    def data_received(self, data: bytes) -> None:
        self._last = self.front.exchange.clock()
        self.rest += data
        while len(self.rest) >= 2 and len(self.rest) >= (end := 2 + int.from_bytes(self.rest[:2], "big")):
            self.waiting.append(self.rest[2:end])
            self.rest = self.rest[end:]
        if len(self.waiting) > OPEN_MOST:
            return self.close()
        self._next()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _next(self) -> None:
        if self.taking:
            return
        self.taking = True  # an answer at once comes back here
        while self.waiting and not self.busy and not self.full and self.transport is not None:
            self.busy = True
            dropped = self.front.counters["dns.dropped"]
            self.front.receive(self.waiting.popleft(), self.peer, self._send)
            if self.front.counters["dns.dropped"] > dropped:  # nothing will come of it
                self.busy = False
        self.taking = False

    def _send(self, reply: dns.message.Message) -> None:
        self.busy = False
        if self.transport is not None:
            wire = reply.to_wire()
            self.transport.write(len(wire).to_bytes(2, "big") + wire)
        self._next()

    def _watch(self) -> None:
        """Close when nothing has come for long."""
        now = self.front.exchange.clock()
        if self.transport is None:
            return
        if self._last and now - self._last > TCP_IDLE_MS and not self.busy:
            return self.close()
        self._last = self._last or now
        self.front.exchange.deadlines.add(now + TCP_IDLE_MS, self._watch)

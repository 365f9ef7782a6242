"""Answers out of what the zone, the core and the limits say, down to the bytes that go out. No I/O.

outside the zones, or not class IN         REFUSED, "not authoritative"
a transfer (AXFR, IXFR)                    REFUSED, "prohibited": the names below are without end
another opcode                             NOTIMP
cannot be parsed, not one question         FORMERR
an EDNS version above 0                    BADVERS
signed with a key (TSIG)                   NOTAUTH: we have none
refused by the core, or its time is up     SERVFAIL, "not ready"
"""

from __future__ import annotations

import ipaddress
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

import dns.edns
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
import dns.rrset

from .cookies import Shown
from .edns import PADDED_TO, Edns, keepalive_answer, subnet_answer
from .limits import Fate, ResponseLimit, network_of
from .names import box_name
from .settings import DnsConfig
from .zone import Found, Kind, Zone, address_rrsets

UDP_LEAST = 512
HEAD = 12  # bytes


class Via(Enum):
    UDP = "udp"
    TCP = "tcp"
    TLS = "tls"


@dataclass(slots=True)
class Asked:
    """A question that was understood, and how its answer may leave."""

    query: dns.message.Message
    edns: Edns
    shown: Shown
    peer: str
    via: Via
    size: int  # bytes of the question
    subnet: dns.edns.ECSOption | None = None
    scope: int = 0
    why: int | None = None  # an extended error (RFC 8914)

    @property
    def name(self) -> dns.name.Name:
        return self.query.question[0].name

    @property
    def rdtype(self) -> dns.rdatatype.RdataType:
        return self.query.question[0].rdtype


@dataclass(slots=True, frozen=True)
class Point:
    """Where the core points: an address and port, by TLS and ALPN where the box speaks so."""

    address: str
    port: int
    secure: bool = False
    alpn: tuple[str, ...] = ()


class Answers:
    def __init__(self, config: DnsConfig) -> None:
        self.config = config
        self.limit = ResponseLimit(config.answers_per_s, config.slip) if config.answers_per_s else None

    # Messages.

    def of_found(self, asked: Asked, found: Found) -> dns.message.Message:
        """What the zone itself knows."""
        reply = self._begin(asked.query)
        if found.kind is Kind.REFERRAL:
            reply.flags &= ~dns.flags.AA
        elif found.kind is Kind.NXDOMAIN:
            reply.set_rcode(dns.rcode.NXDOMAIN)
        reply.answer, reply.authority = list(found.answer), list(found.authority)
        reply.additional = list(found.additional)
        return reply

    def of_box(
        self, asked: Asked, found: Found, zone: Zone, points: Sequence[Point], ttl_s: int
    ) -> dns.message.Message:
        """What the core has decided, for each type that can say it; else no data."""
        reply = self._begin(asked.query)
        reply.answer = list(found.answer)
        match asked.rdtype:
            case dns.rdatatype.SRV:
                self._service(reply, found.owner, zone, points, ttl_s)
            case dns.rdatatype.HTTPS:
                reply.answer += bindings(found.owner, "HTTPS", [p for p in points if p.secure], ttl_s)
            case dns.rdatatype.SVCB:
                reply.answer += bindings(found.owner, "SVCB", points, ttl_s)
            case dns.rdatatype.A | dns.rdatatype.AAAA:
                mine = address_rrsets(found.owner, [point.address for point in points], ttl_s)
                reply.answer += [rrset for rrset in mine if rrset.rdtype == asked.rdtype]
        if len(reply.answer) == len(found.answer):
            reply.authority = [zone.soa]
        return reply

    def _service(
        self,
        reply: dns.message.Message,
        owner: dns.name.Name,
        zone: Zone,
        points: Sequence[Point],
        ttl_s: int,
    ) -> None:
        """RFC 2782: a name for each address, whose address goes along."""
        texts = [f"0 1 {point.port} {box_name(point.address, zone.origin)}" for point in points]
        reply.answer.append(dns.rrset.from_text(owner, ttl_s, "IN", "SRV", *texts))
        for address in dict.fromkeys(point.address for point in points):
            reply.additional += address_rrsets(box_name(address, zone.origin), [address], ttl_s)

    def error(self, query: dns.message.Message, rcode: dns.rcode.Rcode) -> dns.message.Message:
        reply = self._begin(query)
        reply.flags &= ~dns.flags.AA
        reply.set_rcode(rcode)
        return reply

    def _begin(self, query: dns.message.Message) -> dns.message.Message:
        reply = dns.message.make_response(query, our_payload=self.config.udp_most)
        reply.flags |= dns.flags.AA
        return reply

    @staticmethod
    def unread(wire: bytes, rcode: dns.rcode.Rcode) -> bytes:
        """An answer to what was not parsed: its id, opcode and RD, no question."""
        flags = 0x8000 | (wire[2] & 0x79) << 8 | int(rcode)
        return wire[:2] + flags.to_bytes(2, "big") + bytes(8)

    # Bytes.

    def options(self, asked: Asked, now_ms: float) -> list[dns.edns.Option]:
        """What goes back beside the answer: only what was asked for, and nothing without EDNS."""
        edns = asked.edns
        options: list[dns.edns.Option] = []
        if edns.client and self.config.cookies is not None:
            server = self.config.cookies.answer(
                edns.client, edns.server, asked.shown, asked.peer, now_ms / 1_000.0
            )
            options.append(dns.edns.CookieOption(edns.client, server))
        if edns.nsid and self.config.nsid:
            options.append(dns.edns.NSIDOption(self.config.nsid.encode()))
        if asked.subnet is not None:
            options.append(subnet_answer(asked.subnet, asked.scope))
        if edns.keepalive and asked.via is not Via.UDP:
            options.append(keepalive_answer(self.config.tcp_idle_ms))
        if asked.why is not None:
            options.append(dns.edns.EDEOption(dns.edns.EDECode(asked.why)))
        return options

    def wire(self, asked: Asked, reply: dns.message.Message, now_ms: float) -> bytes | None:
        """The answer as it may leave; None: it may not."""
        if asked.query.edns >= 0:
            rcode = reply.rcode()
            reply.use_edns(
                0,
                dns.flags.DO if asked.edns.do else 0,
                self.config.udp_most,
                asked.query.payload,
                self.options(asked, now_ms),
                PADDED_TO if asked.via is Via.TLS and asked.edns.padding else 0,
            )
            reply.set_rcode(rcode)  # of 12 bits: its upper part is in EDNS, which was set anew
        if asked.via is not Via.UDP:
            return reply.to_wire(max_size=65_535)
        fate = self._fate(asked, reply, now_ms)
        if fate is Fate.DROP:
            return None
        told = asked.query.payload if asked.query.edns >= 0 else 0
        wire = fit(reply, max(UDP_LEAST, min(told, self.config.udp_most)))
        most = self.config.amplification_most * asked.size
        if fate is Fate.SLIP or (asked.shown is not Shown.GOOD and len(wire) > most):
            if asked.edns.client and self.config.cookies is not None:  # RFC 7873, 5.2.3: it may show one now
                reply.set_rcode(dns.rcode.BADCOOKIE)
                return cut(reply, truncated=False)
            return cut(reply)
        return wire

    def _fate(self, asked: Asked, reply: dns.message.Message, now_ms: float) -> Fate:
        """Like answers are those for one name where it is there, and for one zone where it is not."""
        if self.limit is None or asked.shown is Shown.GOOD:
            return Fate.SEND
        good = reply.rcode() == dns.rcode.NOERROR and reply.answer and reply.question
        what = reply.question[0].name if good else reply.rcode()
        return self.limit.judge(network_of(asked.peer), what, now_ms)


def fit(reply: dns.message.Message, most: int) -> bytes:
    """The answer within so many bytes. What is only additional may go without a word (RFC 2181, 9); else its
    head alone is left, which sends the asker to TCP."""
    wire = reply.to_wire(max_size=most, prefer_truncation=True)
    return cut(reply) if wire[2] & 0x02 else wire


def cut(reply: dns.message.Message, truncated: bool = True) -> bytes:
    """The head, the question and EDNS alone."""
    if truncated:
        reply.flags |= dns.flags.TC
    reply.answer, reply.authority, reply.additional = [], [], []
    return reply.to_wire(max_size=65_535)


def bindings(owner: dns.name.Name, kind: str, points: Sequence[Point], ttl_s: int) -> list[dns.rrset.RRset]:
    """RFC 9460: this very name, at each port, spoken to so; with hints, which save a second question."""
    texts = []
    for point in points:
        hint = "ipv6hint" if ipaddress.ip_address(point.address).version == 6 else "ipv4hint"
        alpn = f"alpn={','.join(point.alpn)} " if point.alpn else ""
        texts.append(f"1 . {alpn}port={point.port} {hint}={point.address}")
    return [dns.rrset.from_text(owner, ttl_s, "IN", kind, *texts)] if texts else []

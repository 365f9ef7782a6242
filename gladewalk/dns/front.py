"""DNS on sockets: a question becomes an answer of the zone's, or a `ResolveRequest` for the core.

What is answered is decided in `zone`, `answers`, `cookies` and `limits`; here are the sockets, the counters
and the way between them. Whatever comes in ends in an answer or a counter, not in an exception.
"""

from __future__ import annotations

import asyncio
import ipaddress
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Protocol

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rcode
import dns.rdataclass
import dns.rdatatype

from .. import interface as api
from ..config.platform import Address
from ..core.counters import Counters
from ..core.exchange import Exchange
from ..policy.dns_placement import DNS_LEASE_MS
from .answers import HEAD, Answers, Asked, Point, Via
from .cookies import Shown
from .datagrams import UdpSocket
from .edns import read_edns, trusted_subnet
from .limits import Buckets, network_of
from .names import Rules
from .settings import DnsConfig
from .stream import Streams
from .weights import Weights
from .zone import Found, Kind, Zone, zone_of

OPEN_MOST = 2_048  # questions that wait for the core at a time
TRANSFERS = frozenset((dns.rdatatype.AXFR, dns.rdatatype.IXFR))
META = frozenset((dns.rdatatype.OPT, dns.rdatatype.TSIG, dns.rdatatype.TKEY))
NOT_READY, PROHIBITED, NOT_AUTHORITATIVE = 14, 18, 20  # extended errors (RFC 8914, 5.2)


class Sender(Protocol):
    """The way that one question came, and its answer goes."""

    @property
    def peer(self) -> str: ...
    @property
    def via(self) -> Via: ...
    def send(self, wire: bytes) -> None: ...
    def drop(self) -> None:
        """Nothing will come."""


class Question:
    """One question that waits for the core; it is the asker that the exchange knows."""

    def __init__(
        self, front: DnsFront, asked: Asked, found: Found, zone: Zone, sender: Sender, name: int
    ) -> None:
        self.front, self.asked, self.found, self.zone, self.sender = front, asked, found, zone, sender
        self.name = name

    def resolved(self, boxes: Sequence[tuple[str, Address]], ttl_ms: float) -> None:
        self.front.pointed(self, boxes, ttl_ms)

    def rejected(self) -> None:
        self.asked.why = NOT_READY
        self.front.fail(self.asked, self.sender, dns.rcode.SERVFAIL)


class DnsFront:
    """`own_port`: where the director itself serves; `alpn_of`: how a box is spoken to, by its name."""

    def __init__(
        self, exchange: Exchange, config: DnsConfig, counters: Counters, own_port: int = 0,
        alpn_of: Callable[[str], tuple[bool, tuple[str, ...]]] = lambda name: (False, ("http/1.1",)),
    ) -> None:  # fmt: skip
        self.exchange, self.counters, self.own_port, self.alpn_of = exchange, counters, own_port, alpn_of
        self._classes = frozenset(cls.name for cls in exchange.dispatcher.state.settings.classes)
        self.streams = Streams(self)
        self.address: Address = config.listen
        self.tls_address: Address | None = None
        self._udp: UdpSocket | None = None
        self._servers: list[asyncio.Server] = []
        self.config = config

    @property
    def config(self) -> DnsConfig:
        return self._config

    @config.setter
    def config(self, config: DnsConfig) -> None:
        """Settings that were read anew; addresses to listen at are taken up at a restart.

        What was measured under settings that stay the same is kept: resolvers' weights, the buckets of rates.
        """
        old: DnsConfig | None = getattr(self, "_config", None)
        self._config, self.answers = config, Answers(config)
        weighs = (config.transfers_per_answer, config.transfers_most)
        if old is None or (old.transfers_per_answer, old.transfers_most) != weighs:
            self.weights = Weights(*weighs)
        ledger = self.exchange.dispatcher.state.dns_lease_table()
        ledger.min_ttl_ms, ledger.max_ttl_ms = config.ttl_ms
        if old is None or old.network_per_s != config.network_per_s:
            per_s = config.network_per_s
            self.networks = Buckets(per_s, per_s) if per_s else None
        if old is None or old.all_per_s != config.all_per_s:
            self.all = Buckets(config.all_per_s, config.all_per_s, 1) if config.all_per_s else None
        if self._udp is not None:
            self._udp.share.share = config.loop_share
        self._make_zones()

    @property
    def classes(self) -> frozenset[str]:
        return self._classes

    @classes.setter
    def classes(self, classes: frozenset[str]) -> None:
        if classes != self._classes:  # else the zones made at the reload stand
            self._classes = classes
            self._make_zones()

    def _make_zones(self) -> None:
        config, serial = self._config, int(time.time()) % 2**32
        rules = Rules(self._classes, config.open_classes, self.is_box)
        servers = config.nameservers or {"ns": (config.own_address,)}
        self.zones = [
            Zone(
                origin, rules, config.own_address, servers, config.hostmaster, serial,
                config.negative_ttl_s, [rrset for at, rrset in config.records if at == origin],
            )
            for origin in config.origins
        ]  # fmt: skip

    def is_box(self, address: str) -> bool:
        """Whether an address is ours to have a name. Guards against a zone that names whatever one likes."""
        servers, upstreams = self.exchange.dispatcher.state.registry.servers, self.exchange.upstreams
        if upstreams is None:
            return False
        at = (upstreams.address(name) for name in servers)
        return address == self._config.own_address or any(a is not None and a[0] == address for a in at)

    # Sockets.

    async def listen(self) -> None:
        loop, config = asyncio.get_running_loop(), self._config
        # Without a store nobody knows what our last run gave out.
        if config.assume_worst and self.exchange.resolutions.persist is None:
            self.exchange.dispatcher.state.dns_lease_table().assume_full(self.exchange.clock() + DNS_LEASE_MS)
        tcp = await loop.create_server(lambda: self.streams.connection(Via.TCP), *config.listen)
        host, port = tcp.sockets[0].getsockname()[:2]
        self.address = (host, port)  # port 0 is chosen once, and UDP takes the same
        self._servers.append(tcp)
        self._udp = UdpSocket(self, (host, port))
        if config.tls_listen is not None:
            tls = await loop.create_server(
                lambda: self.streams.connection(Via.TLS), *config.tls_listen, ssl=config.tls
            )
            self.tls_address = tls.sockets[0].getsockname()[:2]
            self._servers.append(tls)

    def reload(self, config: DnsConfig) -> None:
        """SIGHUP. A certificate, checked by now, goes into the context that listens: for new connections."""
        old = self._config
        if old.tls is not None and config.certificate is not None:
            old.tls.load_cert_chain(*config.certificate, password="")
        moved = (config.listen, config.tls_listen) != (old.listen, old.tls_listen)
        if moved:
            self.counters.add("dns.listen_kept")
        self.config = replace(config, listen=old.listen, tls_listen=old.tls_listen, tls=old.tls)

    def close(self) -> None:
        if self._udp is not None:
            self._udp.close()
        for server in self._servers:
            server.close()
        self.streams.close()

    # Questions.

    def receive(self, wire: bytes, sender: Sender) -> None:
        if len(wire) < HEAD or wire[2] & 0x80:  # no header, or itself an answer
            self.counters.add("dns.dropped")
            return sender.drop()
        now = self.exchange.clock()
        if self.networks is not None and not self.networks.take(network_of(sender.peer), now):
            self.counters.add("dns.over_network")
            return sender.drop()
        if self.all is not None and not self.all.take("", now):
            self.counters.add("dns.over_all")
            return sender.drop()
        self.counters.add("dns.taken")
        if wire[2] >> 3 & 0x0F != dns.opcode.QUERY:
            return self._fail_unread(wire, sender, dns.rcode.NOTIMP)
        try:
            query = dns.message.from_wire(wire)
            edns = read_edns(query)
        except dns.message.UnknownTSIGKey:
            return self._fail_unread(wire, sender, dns.rcode.NOTAUTH)
        except Exception:  # the parser's own errors are many: any of them means that it can't be read
            return self._fail_unread(wire, sender, dns.rcode.FORMERR)
        asked = Asked(query, edns, Shown.NONE, sender.peer, sender.via, len(wire))
        if self._config.cookies is not None and edns.client:
            asked.shown = self._config.cookies.judge(edns.client, edns.server, sender.peer, now / 1_000.0)
            self.counters.add(f"dns.cookies_{asked.shown.value}")
        self._judge(asked, sender)

    def _judge(self, asked: Asked, sender: Sender) -> None:
        query = asked.query
        if query.edns > 0:
            return self.fail(asked, sender, dns.rcode.BADVERS)
        if not query.question and asked.edns.client:  # RFC 7873, 5.4: it wants a cookie and nothing else
            return self.reply(asked, sender, self.answers.error(query, dns.rcode.NOERROR))
        if len(query.question) != 1 or asked.rdtype in META:
            return self.fail(asked, sender, dns.rcode.FORMERR)
        zone = zone_of(self.zones, asked.name)
        if query.question[0].rdclass != dns.rdataclass.IN or zone is None:
            asked.why = NOT_AUTHORITATIVE
            return self.fail(asked, sender, dns.rcode.REFUSED)
        if asked.rdtype in TRANSFERS:
            asked.why = PROHIBITED
            return self.fail(asked, sender, dns.rcode.REFUSED)
        asked.subnet = trusted_subnet(asked.edns, asked.peer, self._config.ecs_from)
        found = zone.find(asked.name, asked.rdtype)
        if found.kind is Kind.ROUTED and found.routed is not None:
            return self._locate(asked, found, zone, sender)
        self.reply(asked, sender, self.answers.of_found(asked, found))

    def _locate(self, asked: Asked, found: Found, zone: Zone, sender: Sender) -> None:
        if len(self.exchange.resolutions.open) >= OPEN_MOST:
            self.counters.add("dns.open_most")
            asked.why = NOT_READY
            return self.fail(asked, sender, dns.rcode.SERVFAIL)
        assert found.routed is not None
        wanted, config, now = found.routed.wanted, self._config, self.exchange.clock()
        name = hash((wanted.class_name, wanted.key, wanted.part))
        self.weights.ask(asked.peer, name, now)
        transfer_ms = self.exchange.dispatcher.state.estimates.mean_ms_by_class[wanted.class_name]
        weight = self.weights.weight(asked.peer, transfer_ms, now)
        self.exchange.resolve(
            Question(self, asked, found, zone, sender, name),
            config.wait_ms,
            lambda number: api.ResolveRequest(
                number, wanted.class_name, wanted.key, config.wait_ms, asked.peer, wanted.part, wanted.group,
                weight,
            ),
        )  # fmt: skip

    def pointed(self, question: Question, boxes: Sequence[tuple[str, Address]], ttl_ms: float) -> None:
        """The core has decided. A host's name instead of an address is nothing that A can hold."""
        ttl_s = max(1, round(ttl_ms / 1_000.0))
        points = [
            Point(address[0], address[1], *self.alpn_of(name))
            for name, address in boxes
            if is_literal(address[0])
        ]
        self.counters.add("dns.named_box" if points else "dns.named_self")
        if len(points) > 1:
            self.counters.add("dns.named_several")
        if not points:
            points = [Point(self._config.own_address, self.own_port, False, ("http/1.1",))]
        self.weights.answered(question.asked.peer, question.name, ttl_s * 1_000.0, self.exchange.clock())
        reply = self.answers.of_box(question.asked, question.found, question.zone, points, ttl_s)
        self.reply(question.asked, question.sender, reply)

    # Answers.

    def fail(self, asked: Asked, sender: Sender, rcode: dns.rcode.Rcode) -> None:
        self.reply(asked, sender, self.answers.error(asked.query, rcode))

    def reply(self, asked: Asked, sender: Sender, reply: dns.message.Message) -> None:
        rcode, has = reply.rcode(), bool(reply.answer)
        wire = self.answers.wire(asked, reply, self.exchange.clock())
        if wire is None:
            self.counters.add("dns.limited_dropped")
            return sender.drop()
        if reply.rcode() == dns.rcode.BADCOOKIE:
            self.counters.add("dns.badcookie")
        elif reply.flags & dns.flags.TC:
            self.counters.add("dns.cut")
        elif rcode != dns.rcode.NOERROR:
            self.counters.add(f"dns.{rcode.name.lower()}")
        else:
            self.counters.add("dns.answered" if has else "dns.nodata")
        sender.send(wire)

    def _fail_unread(self, wire: bytes, sender: Sender, rcode: dns.rcode.Rcode) -> None:
        self.counters.add(f"dns.{rcode.name.lower()}")
        sender.send(self.answers.unread(wire, rcode))


def is_literal(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True

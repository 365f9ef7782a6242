"""Processes DNS queries: the answer comes from a zone, or from the dispatcher by a `ResolveRequest`.

The modules `zone`, `responses`, `cookies` and `limits` decide on the response; this module calls them and
counts the results. Every query ends in a response or a counter, and never in an exception.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import dns.edns
import dns.flags
import dns.message
import dns.opcode
import dns.rcode
import dns.rdataclass
import dns.rdatatype

from .. import interface as api
from ..config.platform import Address
from ..core.counters import Counters
from ..core.exchange import Exchange
from .edns import read_edns, trusted_subnet
from .limits import TokenBuckets, client_network
from .names import RoutedName
from .query import HEADER_BYTES, Query, QuerySender
from .responses import ResponseBuilder, ServiceEndpoint, encode_unparsed_error
from .settings import DnsConfig
from .weights import ResolverWeights
from .zone import LookupResult, LookupStatus, Zone, closest_zone

MAX_OPEN_RESOLUTIONS = 2_048  # queries that wait for the dispatcher at a time
TRANSFER_TYPES = frozenset((dns.rdatatype.AXFR, dns.rdatatype.IXFR))
META_TYPES = frozenset((dns.rdatatype.OPT, dns.rdatatype.TSIG, dns.rdatatype.TKEY))
QR_BIT = 0x80  # of the header's third byte
OPCODE_SHIFT, OPCODE_MASK = 3, 0x0F  # of the header's third byte
ALL_CLIENTS = ""  # the one key of the bucket for all queries
PLAIN_ALPN = ("http/1.1",)

AlpnOf = Callable[[str], tuple[bool, tuple[str, ...]]]


@dataclass(slots=True, frozen=True)
class PendingResolution:
    """A query that waits for the dispatcher; the responder of its `ResolveRequest`."""

    processor: QueryProcessor
    query: Query
    result: LookupResult
    zone: Zone
    name_hash: int

    def resolved(self, servers: Sequence[tuple[str, Address]], ttl_ms: float) -> None:
        """Responds with servers by name and address; an empty sequence names the director itself."""
        self.processor.on_resolved(self, servers, ttl_ms)

    def rejected(self) -> None:
        """Responds with SERVFAIL, since no server can be named now."""
        self.processor.fail(self.query, dns.rcode.SERVFAIL, dns.edns.EDECode.NOT_READY)


class QueryProcessor:
    """Answers queries from the zones and the dispatcher, within the limits of the settings.

    Args:
        exchange: Passes resolve requests to the dispatcher.
        counters: Where queries and responses are counted.
        config: The settings.
        zones: The zones made from these settings.
        own_port: Port of the director's HTTP front.
        alpn_of: Returns whether a server uses TLS, and its ALPN identifiers.
    """

    def __init__(
        self,
        exchange: Exchange,
        counters: Counters,
        config: DnsConfig,
        zones: Sequence[Zone],
        own_port: int,
        alpn_of: AlpnOf,
    ) -> None:
        self.own_port, self.zones = own_port, zones
        self._exchange, self._counters, self._alpn_of = exchange, counters, alpn_of
        self._config, self._responses = config, ResponseBuilder(config)
        self.weights = self._make_weights()
        self._network_buckets = self._make_network_buckets()
        self._all_buckets = self._make_all_buckets()

    def apply(self, config: DnsConfig, zones: Sequence[Zone]) -> None:
        """Applies new settings; weights and rate buckets are kept if their settings are unchanged."""
        old, self._config = self._config, config
        self.zones, self._responses = zones, ResponseBuilder(config)
        if _weight_bounds(old) != _weight_bounds(config):
            self.weights = self._make_weights()
        if old.rates.network_queries_per_s != config.rates.network_queries_per_s:
            self._network_buckets = self._make_network_buckets()
        if old.rates.queries_per_s != config.rates.queries_per_s:
            self._all_buckets = self._make_all_buckets()

    def _make_weights(self) -> ResolverWeights:
        return ResolverWeights(*_weight_bounds(self._config))

    def _make_network_buckets(self) -> TokenBuckets | None:
        rate = self._config.rates.network_queries_per_s
        return TokenBuckets(rate, rate) if rate else None

    def _make_all_buckets(self) -> TokenBuckets | None:
        rate = self._config.rates.queries_per_s
        return TokenBuckets(rate, rate, max_buckets=1) if rate else None

    # Queries.

    def handle_query(self, wire: bytes, sender: QuerySender) -> None:
        """Responds through the sender, at once or later; raises no exception, whatever the bytes are."""
        if len(wire) < HEADER_BYTES or wire[2] & QR_BIT:
            self._counters.add("dns.dropped")
            return sender.drop()
        now_ms = self._exchange.clock()
        if not self._take_from_budgets(sender.client_address, now_ms):
            return sender.drop()
        self._counters.add("dns.taken")
        if wire[2] >> OPCODE_SHIFT & OPCODE_MASK != dns.opcode.QUERY:
            return self._fail_unparsed(wire, sender, dns.rcode.NOTIMP)
        try:
            message = dns.message.from_wire(wire)
            query = Query(message, read_edns(message), sender, len(wire))
        except dns.message.UnknownTSIGKey:
            return self._fail_unparsed(wire, sender, dns.rcode.NOTAUTH)
        except Exception:  # noqa: BLE001 - the parser raises more types than it documents; all mean malformed
            return self._fail_unparsed(wire, sender, dns.rcode.FORMERR)
        self._verify_cookie(query, now_ms)
        self._answer(query)

    def _take_from_budgets(self, client_address: str, now_ms: float) -> bool:
        """Charges a query to the budgets of its network and all clients; returns False if one is used up."""
        networks = self._network_buckets
        if networks is not None and not networks.try_take(client_network(client_address), now_ms):
            self._counters.add("dns.over_network")
            return False
        if self._all_buckets is not None and not self._all_buckets.try_take(ALL_CLIENTS, now_ms):
            self._counters.add("dns.over_all")
            return False
        return True

    def _verify_cookie(self, query: Query, now_ms: float) -> None:
        edns, cookies = query.edns, self._config.cookies
        if cookies is None or not edns.client_cookie:
            return
        query.cookie_status = cookies.verify(
            edns.client_cookie, edns.server_cookie, query.client_address, now_ms / 1_000.0
        )
        self._counters.add(f"dns.cookies_{query.cookie_status.value}")

    def _answer(self, query: Query) -> None:
        message = query.message
        if message.edns > 0:
            return self.fail(query, dns.rcode.BADVERS)
        if not message.question and query.edns.client_cookie:  # RFC 7873, section 5.4: requests only a cookie
            return self._respond(query, self._responses.error(message, dns.rcode.NOERROR))
        if len(message.question) != 1 or query.rdtype in META_TYPES:
            return self.fail(query, dns.rcode.FORMERR)
        zone = closest_zone(self.zones, query.name)
        if message.question[0].rdclass != dns.rdataclass.IN or zone is None:
            return self.fail(query, dns.rcode.REFUSED, dns.edns.EDECode.NOT_AUTHORITATIVE)
        if query.rdtype in TRANSFER_TYPES:
            return self.fail(query, dns.rcode.REFUSED, dns.edns.EDECode.PROHIBITED)
        query.trusted_subnet = trusted_subnet(query.edns, query.client_address, self._config.ecs_resolvers)
        result = zone.lookup(query.name, query.rdtype)
        if result.status is LookupStatus.ROUTED and result.routed is not None:
            return self._resolve(query, result, result.routed, zone)
        return self._respond(query, self._responses.from_lookup(query, result))

    # Routed names.

    def _resolve(self, query: Query, result: LookupResult, routed: RoutedName, zone: Zone) -> None:
        """Sends the dispatcher a request for the servers of a routed name."""
        if len(self._exchange.resolutions.open) >= MAX_OPEN_RESOLUTIONS:
            self._counters.add("dns.open_most")
            return self.fail(query, dns.rcode.SERVFAIL, dns.edns.EDECode.NOT_READY)
        target, resolver, now_ms = routed.target, query.client_address, self._exchange.clock()
        name_hash = hash((target.class_name, target.key, target.part))
        self.weights.record_query(resolver, name_hash, now_ms)
        transfer_ms = self._exchange.dispatcher.state.estimates.mean_ms_by_class[target.class_name]
        weight = self.weights.weight(resolver, transfer_ms, now_ms)
        max_wait_ms = self._config.max_wait_ms

        def make_request(number: int) -> api.ResolveRequest:
            return api.ResolveRequest(
                number,
                target.class_name,
                target.key,
                max_wait_ms,
                resolver,
                target.part,
                target.group,
                weight,
            )

        pending = PendingResolution(self, query, result, zone, name_hash)
        self._exchange.resolve(pending, max_wait_ms, make_request)

    def on_resolved(
        self, pending: PendingResolution, servers: Sequence[tuple[str, Address]], ttl_ms: float
    ) -> None:
        """Responds with the servers that the dispatcher chose; those without an IP address are left out."""
        query, ttl_s = pending.query, max(1, round(ttl_ms / 1_000.0))
        endpoints = [
            ServiceEndpoint(address[0], address[1], *self._alpn_of(name))
            for name, address in servers
            if is_ip_address(address[0])
        ]
        self._counters.add("dns.named_box" if endpoints else "dns.named_self")
        if len(endpoints) > 1:
            self._counters.add("dns.named_several")
        if not endpoints:
            endpoints = [ServiceEndpoint(self._config.own_address, self.own_port, False, PLAIN_ALPN)]
        self.weights.record_answer(
            query.client_address, pending.name_hash, ttl_s * 1_000.0, self._exchange.clock()
        )
        response = self._responses.from_endpoints(query, pending.result, pending.zone, endpoints, ttl_s)
        self._respond(query, response)

    # Responses.

    def fail(
        self, query: Query, rcode: dns.rcode.Rcode, extended_error: dns.edns.EDECode | None = None
    ) -> None:
        """Responds with a response code and no records."""
        query.extended_error = extended_error
        self._respond(query, self._responses.error(query.message, rcode))

    def _respond(self, query: Query, response: dns.message.Message) -> None:
        rcode, has_answer = response.rcode(), bool(response.answer)
        wire = self._responses.encode(query, response, self._exchange.clock())
        if wire is None:
            self._counters.add("dns.limited_dropped")
            return query.sender.drop()
        if response.rcode() == dns.rcode.BADCOOKIE:
            self._counters.add("dns.badcookie")
        elif response.flags & dns.flags.TC:
            self._counters.add("dns.cut")
        elif rcode != dns.rcode.NOERROR:
            self._counters.add(f"dns.{rcode.name.lower()}")
        else:
            self._counters.add("dns.answered" if has_answer else "dns.nodata")
        return query.sender.send(wire)

    def _fail_unparsed(self, wire: bytes, sender: QuerySender, rcode: dns.rcode.Rcode) -> None:
        self._counters.add(f"dns.{rcode.name.lower()}")
        sender.send(encode_unparsed_error(wire, rcode))


def _weight_bounds(config: DnsConfig) -> tuple[float, float]:
    return config.leases.transfers_per_answer, config.leases.max_transfers_per_answer


def is_ip_address(host: str) -> bool:
    """Whether a host is an IP address; A and AAAA records cannot contain a host name."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True

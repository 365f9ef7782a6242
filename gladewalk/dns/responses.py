"""Builds and encodes responses from the decisions of the zone, the dispatcher and the limits. No I/O.

Errors:

outside the zones, or not class IN         REFUSED, "not authoritative"
a transfer (AXFR, IXFR)                    REFUSED, "prohibited": the zone has an unlimited set of names
another opcode                             NOTIMP
malformed, or not exactly one question     FORMERR
an EDNS version above 0                    BADVERS
signed with a key (TSIG)                   NOTAUTH: no keys are configured
rejected by the dispatcher, or timed out   SERVFAIL, "not ready"
"""

from __future__ import annotations

import ipaddress
from collections.abc import Sequence
from dataclasses import dataclass

import dns.edns
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
import dns.rrset

from .cookies import CookieStatus
from .edns import PADDING_BLOCK_BYTES, keepalive_response, subnet_response
from .limits import RateDecision, ResponseRateLimiter, client_network
from .names import address_name
from .query import MAX_MESSAGE_BYTES, Query, TransportKind
from .settings import DnsConfig
from .zone import LookupResult, LookupStatus, Zone, address_rrsets

MIN_UDP_BYTES = 512  # a size that every client accepts (RFC 1035, section 4.2.1)
QR_FLAG = 0x8000
OPCODE_AND_RD_BITS = 0x79  # of the header's third byte
COUNTS_BYTES = 8
TC_BIT = 0x02  # of the header's third byte


@dataclass(slots=True, frozen=True)
class ServiceEndpoint:
    """An address and port to which the dispatcher sends a client.

    Attributes:
        address: IP address.
        port: TCP port.
        is_secure: The server uses TLS at that port.
        alpn: ALPN identifiers of its protocols (RFC 7301).
    """

    address: str
    port: int
    is_secure: bool = False
    alpn: tuple[str, ...] = ()


class ResponseBuilder:
    """Builds responses, and encodes them within the limits of the settings."""

    def __init__(self, config: DnsConfig) -> None:
        self.config = config
        rates = config.rates
        self._limiter = ResponseRateLimiter(rates.answers_per_s, rates.slip) if rates.answers_per_s else None

    # Messages.

    def from_lookup(self, query: Query, result: LookupResult) -> dns.message.Message:
        """Builds the response to a query that is answered from the zone."""
        response = self._begin(query.message)
        if result.status is LookupStatus.REFERRAL:
            response.flags &= ~dns.flags.AA
        elif result.status is LookupStatus.NXDOMAIN:
            response.set_rcode(dns.rcode.NXDOMAIN)
        response.answer, response.authority = list(result.answer), list(result.authority)
        response.additional = list(result.additional)
        return response

    def from_endpoints(
        self,
        query: Query,
        result: LookupResult,
        zone: Zone,
        endpoints: Sequence[ServiceEndpoint],
        ttl_s: int,
    ) -> dns.message.Message:
        """Builds the response that names the dispatcher's servers; NODATA if no record of that type can."""
        response = self._begin(query.message)
        response.answer = list(result.answer)
        owner = result.owner
        match query.rdtype:
            case dns.rdatatype.SRV:
                _add_srv(response, owner, zone, endpoints, ttl_s)
            case dns.rdatatype.HTTPS:
                secure = [endpoint for endpoint in endpoints if endpoint.is_secure]
                response.answer += service_bindings(owner, "HTTPS", secure, ttl_s)
            case dns.rdatatype.SVCB:
                response.answer += service_bindings(owner, "SVCB", endpoints, ttl_s)
            case dns.rdatatype.A | dns.rdatatype.AAAA:
                rrsets = address_rrsets(owner, [endpoint.address for endpoint in endpoints], ttl_s)
                response.answer += [rrset for rrset in rrsets if rrset.rdtype == query.rdtype]
        if len(response.answer) == len(result.answer):
            response.authority = [zone.soa]
        return response

    def error(self, message: dns.message.Message, rcode: dns.rcode.Rcode) -> dns.message.Message:
        """Builds a response with a response code and no records."""
        response = self._begin(message)
        response.flags &= ~dns.flags.AA
        response.set_rcode(rcode)
        return response

    def _begin(self, message: dns.message.Message) -> dns.message.Message:
        response = dns.message.make_response(message, our_payload=self.config.max_udp_bytes)
        response.flags |= dns.flags.AA
        return response

    # Bytes.

    def encode(self, query: Query, response: dns.message.Message, now_ms: float) -> bytes | None:
        """Returns the bytes to send; None if rate limiting drops the response."""
        if query.has_edns:
            self._set_edns(query, response, now_ms)
        if query.transport is not TransportKind.UDP:
            return response.to_wire(max_size=MAX_MESSAGE_BYTES)
        decision = self._rate_decision(query, response, now_ms)
        if decision is RateDecision.DROP:
            return None
        return self._encode_udp(query, response, decision)

    def _encode_udp(
        self, query: Query, response: dns.message.Message, decision: RateDecision
    ) -> bytes:  # fmt: skip
        client_max_bytes = query.message.payload if query.has_edns else 0
        max_bytes = max(MIN_UDP_BYTES, min(client_max_bytes, self.config.max_udp_bytes))
        wire = encode_within(response, max_bytes)
        max_amplified_bytes = self.config.max_amplification * query.size_bytes
        is_amplifying = query.cookie_status is not CookieStatus.VALID and len(wire) > max_amplified_bytes
        if decision is not RateDecision.SLIP and not is_amplifying:
            return wire
        if query.edns.client_cookie and self.config.cookies is not None:
            # RFC 7873, section 5.2.3: the client can retry with the server cookie in this response.
            response.set_rcode(dns.rcode.BADCOOKIE)
            return encode_header(response, is_truncated=False)
        return encode_header(response)

    def _set_edns(self, query: Query, response: dns.message.Message, now_ms: float) -> None:
        rcode = response.rcode()
        is_padded = query.transport is TransportKind.TLS and query.edns.wants_padding
        response.use_edns(
            0,
            dns.flags.DO if query.edns.has_do else 0,
            self.config.max_udp_bytes,
            query.message.payload,
            self._edns_options(query, now_ms),
            PADDING_BLOCK_BYTES if is_padded else 0,
        )
        # The code has 12 bits, the upper 8 of them in the OPT record that was just replaced.
        response.set_rcode(rcode)

    def _edns_options(self, query: Query, now_ms: float) -> list[dns.edns.Option]:
        """Returns the response's options: those that the query requests, and an extended error."""
        edns = query.edns
        options: list[dns.edns.Option] = []
        if edns.client_cookie and self.config.cookies is not None:
            server_cookie = self.config.cookies.renew(
                edns.client_cookie,
                edns.server_cookie,
                query.cookie_status,
                query.client_address,
                now_ms / 1_000.0,
            )
            options.append(dns.edns.CookieOption(edns.client_cookie, server_cookie))
        if edns.wants_nsid and self.config.nsid:
            options.append(dns.edns.NSIDOption(self.config.nsid.encode()))
        if query.trusted_subnet is not None:
            options.append(subnet_response(query.trusted_subnet))
        if edns.wants_keepalive and query.transport is not TransportKind.UDP:
            options.append(keepalive_response(self.config.streams.idle_timeout_ms))
        if query.extended_error is not None:
            options.append(dns.edns.EDEOption(query.extended_error))
        return options

    def _rate_decision(self, query: Query, response: dns.message.Message, now_ms: float) -> RateDecision:
        """Counts responses with records by name, and all others by response code."""
        if self._limiter is None or query.cookie_status is CookieStatus.VALID:
            return RateDecision.SEND
        has_records = response.rcode() == dns.rcode.NOERROR and response.answer and response.question
        response_key = response.question[0].name if has_records else response.rcode()
        return self._limiter.decide(client_network(query.client_address), response_key, now_ms)


def encode_unparsed_error(wire: bytes, rcode: dns.rcode.Rcode) -> bytes:
    """Returns an error response with an unparsed query's id, opcode and RD, without its question."""
    flags = QR_FLAG | (wire[2] & OPCODE_AND_RD_BITS) << 8 | int(rcode)
    return wire[:2] + flags.to_bytes(2, "big") + bytes(COUNTS_BYTES)


def encode_within(response: dns.message.Message, max_bytes: int) -> bytes:
    """Encodes a response within a size limit.

    Additional records that do not fit are left out without setting TC (RFC 2181, section 9). If that is not
    enough, all records are left out and TC is set, which makes the client retry over TCP.
    """
    wire = response.to_wire(max_size=max_bytes, prefer_truncation=True)
    return encode_header(response) if wire[2] & TC_BIT else wire


def encode_header(response: dns.message.Message, is_truncated: bool = True) -> bytes:
    """Encodes a response without its records: header, question and EDNS."""
    if is_truncated:
        response.flags |= dns.flags.TC
    response.answer, response.authority, response.additional = [], [], []
    return response.to_wire(max_size=MAX_MESSAGE_BYTES)


def _add_srv(
    response: dns.message.Message,
    owner: dns.name.Name,
    zone: Zone,
    endpoints: Sequence[ServiceEndpoint],
    ttl_s: int,
) -> None:
    """Adds SRV records (RFC 2782) with address names as targets, and the addresses of these targets."""
    texts = [f"0 1 {endpoint.port} {address_name(endpoint.address, zone.origin)}" for endpoint in endpoints]
    response.answer.append(dns.rrset.from_text(owner, ttl_s, "IN", "SRV", *texts))
    for address in dict.fromkeys(endpoint.address for endpoint in endpoints):
        response.additional += address_rrsets(address_name(address, zone.origin), [address], ttl_s)


def service_bindings(
    owner: dns.name.Name, rdtype: str, endpoints: Sequence[ServiceEndpoint], ttl_s: int
) -> list[dns.rrset.RRset]:
    """Returns SVCB or HTTPS records in service mode (RFC 9460), whose address hints save a query."""
    texts = []
    for endpoint in endpoints:
        hint = "ipv6hint" if ipaddress.ip_address(endpoint.address).version == 6 else "ipv4hint"
        alpn = f"alpn={','.join(endpoint.alpn)} " if endpoint.alpn else ""
        texts.append(f"1 . {alpn}port={endpoint.port} {hint}={endpoint.address}")
    return [dns.rrset.from_text(owner, ttl_s, "IN", rdtype, *texts)] if texts else []

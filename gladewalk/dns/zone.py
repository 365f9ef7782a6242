"""A zone as RFC 1034 has it: what a name and a type come to, out of records, cuts, wildcards and our rules.

    4.3.2 of RFC 1034     the steps of a look-up: cuts first, then the name itself, then wildcards
    RFC 4592              which wildcard speaks for a name: the one below its closest encloser, no other
    RFC 8020              a name that has anything below it exists: NODATA, not NXDOMAIN
    RFC 2308              a negative answer carries the SOA, whose own time to live bounds it
    RFC 4035, 3.1.4.1     DS at a cut is the parent's to answer

No I/O and no clock: the same question has the same answer until the zone is another.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import lru_cache

import dns.name
import dns.rdata
import dns.rdatatype
import dns.rrset

from .names import Box, Empty, Labels, Own, Routed, Rules, labels_of

CHAIN_MOST = 8  # CNAMEs followed in one answer
NS_TTL_S = 3_600
ADDRESS_TTL_S = 300  # of nameservers and boxes' own names; not of what the core decides
WILD = b"*"

Type = dns.rdatatype.RdataType
RRset = dns.rrset.RRset


class Kind(Enum):
    ANSWER = "answer"
    NODATA = "nodata"
    NXDOMAIN = "nxdomain"
    REFERRAL = "referral"
    ROUTED = "routed"  # the core decides


@dataclass(slots=True)
class Found:
    """What a question comes to. `owner`: behind all CNAMEs in `answer`, if there are any."""

    kind: Kind
    owner: dns.name.Name
    answer: list[RRset] = field(default_factory=list)
    authority: list[RRset] = field(default_factory=list)
    additional: list[RRset] = field(default_factory=list)
    routed: Routed | None = None


def address_rrsets(owner: dns.name.Name, addresses: Iterable[str], ttl_s: int) -> list[RRset]:
    """A and AAAA, whichever there are."""
    by_type: dict[Type, list[dns.rdata.Rdata]] = {}
    for address in addresses:
        rdata = address_rdata(address)
        by_type.setdefault(rdata.rdtype, []).append(rdata)
    return [dns.rrset.from_rdata_list(owner, ttl_s, rdatas) for rdatas in by_type.values()]


@lru_cache(4_096)
def address_rdata(address: str) -> dns.rdata.Rdata:
    """Boxes are few, and read from text once each."""
    return dns.rdata.from_text("IN", "AAAA" if ":" in address else "A", address)


class Zone:
    """One zone. Records of its own are given as sets; the apex and the rules' names are made here."""

    def __init__(
        self, origin: dns.name.Name, rules: Rules, own_address: str, nameservers: Mapping[str, Iterable[str]],
        hostmaster: str, serial: int, negative_ttl_s: int, records: Iterable[RRset] = (),
    ) -> None:  # fmt: skip
        self.origin, self.rules, self.own_address = origin, rules, own_address
        self.data: dict[Labels, dict[Type, RRset]] = {}
        self.present: set[Labels] = {()}  # names with records at or below them
        servers = {dns.name.from_text(name, origin): list(texts) for name, texts in nameservers.items()}
        first = next(iter(servers))
        mail = dns.name.from_text(hostmaster, origin)
        soa = f"{first} {mail} {serial} 3600 600 86400 {negative_ttl_s}"
        self.soa = dns.rrset.from_text(origin, negative_ttl_s, "IN", "SOA", soa)
        self._add(self.soa)
        self._add(dns.rrset.from_text(origin, NS_TTL_S, "IN", "NS", *map(str, servers)))
        for name, addresses in servers.items():
            if name.is_subdomain(origin):
                for rrset in address_rrsets(name, addresses, ADDRESS_TTL_S):
                    self._add(rrset)
        for rrset in records:
            self._add(rrset)

    def _add(self, rrset: RRset) -> None:
        labels = labels_of(rrset.name, self.origin)
        known = self.data.setdefault(labels, {}).get(rrset.rdtype)
        if known is not None:
            rdatas = [*known, *rrset]
            merged = dns.rrset.from_rdata_list(rrset.name, min(known.ttl, rrset.ttl), rdatas)
            self.data[labels][rrset.rdtype] = merged
        else:
            self.data[labels][rrset.rdtype] = rrset
        for n in range(len(labels)):
            self.present.add(labels[n:])

    def find(self, name: dns.name.Name, rdtype: Type) -> Found:
        """What a name within this zone and a type come to."""
        chain: list[RRset] = []
        owner = name
        for _ in range(CHAIN_MOST):
            found = self._find_one(owner, rdtype)
            found.answer[:0] = chain
            last = found.answer[-1] if found.answer else None
            if (
                found.kind is not Kind.ANSWER
                or last is None
                or last.rdtype != dns.rdatatype.CNAME
                or rdtype in (dns.rdatatype.CNAME, dns.rdatatype.ANY)
            ):
                return found
            chain, owner = found.answer, last[0].target
            if not owner.is_subdomain(self.origin):
                return found
        return found

    def _find_one(self, name: dns.name.Name, rdtype: Type) -> Found:
        labels = labels_of(name, self.origin)
        cut = self._cut(labels, rdtype)
        if cut is not None:
            return self._referral(name, cut)
        if labels in self.data:
            return self._at(name, self.data[labels], rdtype, self.rules.read(labels) if labels else None)
        virtual = self.rules.read(labels)
        if virtual is not None and not isinstance(virtual, Own):
            return self._by_rule(name, virtual, rdtype)
        if labels in self.present:
            return self._nodata(name)
        encloser = next(labels[n:] for n in range(1, len(labels) + 1) if self._exists(labels[n:]))
        wild = self.data.get((WILD, *encloser))
        if wild is not None:
            return self._at(name, wild, rdtype, None)
        if virtual is not None:
            return self._by_rule(name, virtual, rdtype)
        return Found(Kind.NXDOMAIN, name, authority=[self.soa])

    def _exists(self, labels: Labels) -> bool:
        return labels in self.present or not isinstance(self.rules.read(labels), Own | None)

    def _cut(self, labels: Labels, rdtype: Type) -> Labels | None:
        """The highest delegation at or above a name; DS at the cut itself is answered on this side."""
        for n in range(len(labels) - 1, -1, -1):
            place = labels[n:]
            if dns.rdatatype.NS in self.data.get(place, {}):
                return None if n == 0 and rdtype == dns.rdatatype.DS else place
        return None

    def _referral(self, name: dns.name.Name, cut: Labels) -> Found:
        servers = self.data[cut][dns.rdatatype.NS]
        return Found(Kind.REFERRAL, name, authority=[servers], additional=self._glue(servers))

    def _glue(self, servers: RRset) -> list[RRset]:
        """Addresses of the servers that lie within the zone, below cuts, too."""
        found = []
        for server in servers:
            if server.target.is_subdomain(self.origin):
                at = self.data.get(labels_of(server.target, self.origin), {})
                found += [at[kind] for kind in (dns.rdatatype.A, dns.rdatatype.AAAA) if kind in at]
        return found

    def _at(self, name: dns.name.Name, at: Mapping[Type, RRset], rdtype: Type, virtual: object) -> Found:
        """A name that has records; it may be one of the rules' names besides."""
        if rdtype == dns.rdatatype.ANY:
            return Found(Kind.ANSWER, name, [minimal(name)])
        if rdtype in at:
            rrset = copy_as(at[rdtype], name)
            additional = self._glue(rrset) if rdtype == dns.rdatatype.NS else []
            return Found(Kind.ANSWER, name, [rrset], additional=additional)
        if dns.rdatatype.CNAME in at:
            return Found(Kind.ANSWER, name, [copy_as(at[dns.rdatatype.CNAME], name)])
        if isinstance(virtual, Routed | Box):
            return self._by_rule(name, virtual, rdtype)
        return self._nodata(name)

    def _by_rule(self, name: dns.name.Name, virtual: Routed | Box | Own | Empty, rdtype: Type) -> Found:
        if rdtype == dns.rdatatype.ANY and not isinstance(virtual, Empty):
            return Found(Kind.ANSWER, name, [minimal(name)])
        match virtual:
            case Routed(service=service) if rdtype in (SERVICE_TYPES if service else ROUTED_TYPES):
                return Found(Kind.ROUTED, name, routed=virtual)
            case Box(address=address):
                return self._address(name, address, rdtype)
            case Own():
                return self._address(name, self.own_address, rdtype)
        return self._nodata(name)

    def _address(self, name: dns.name.Name, address: str, rdtype: Type) -> Found:
        for rrset in address_rrsets(name, [address], ADDRESS_TTL_S):
            if rrset.rdtype == rdtype:
                return Found(Kind.ANSWER, name, [rrset])
        return self._nodata(name)

    def _nodata(self, name: dns.name.Name) -> Found:
        return Found(Kind.NODATA, name, authority=[self.soa])


ROUTED_TYPES = frozenset(
    (dns.rdatatype.A, dns.rdatatype.AAAA, dns.rdatatype.HTTPS, dns.rdatatype.SVCB)
)  # fmt: skip
SERVICE_TYPES = frozenset((dns.rdatatype.SRV,))


def minimal(name: dns.name.Name) -> RRset:
    """The answer to ANY (RFC 8482, 4.2): no more than shows that the name is there."""
    return dns.rrset.from_text(name, NS_TTL_S, "IN", "HINFO", '"RFC8482" ""')


def copy_as(rrset: RRset, name: dns.name.Name) -> RRset:
    """The same data at a name as it was asked for: its case is kept, and a wildcard's owner is the name."""
    return dns.rrset.from_rdata_list(name, rrset.ttl, list(rrset))


def zone_of(zones: Iterable[Zone], name: dns.name.Name) -> Zone | None:
    """The deepest of some zones that a name is in."""
    holding = [zone for zone in zones if name.is_subdomain(zone.origin)]
    return max(holding, key=lambda zone: len(zone.origin), default=None)

"""Zone lookup (RFC 1034) of a name and a type in records, delegations, wildcards and naming rules.

    RFC 1034, section 4.3.2     the steps of a lookup: delegations first, then the name itself, then wildcards
    RFC 4592                    which wildcard applies: the one below the closest encloser, no other
    RFC 8020                    a name with names below it exists: NODATA, not NXDOMAIN
    RFC 2308                    a negative answer has the SOA, and may be cached for its TTL
    RFC 4035, section 3.1.4.1   DS at a delegation is answered by the parent zone

No I/O and no clock: the same query has the same answer until the zone is replaced.
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

from .names import (
    AddressName,
    DirectorName,
    EmptyNonTerminal,
    Labels,
    NamingRules,
    RoutedName,
    RuleName,
    relative_labels,
)

MAX_CNAME_CHAIN = 8  # CNAMEs followed in one answer
NS_TTL_S = 3_600
# TTL of name servers, address names and the director; the dispatcher decides the TTL of routed names.
ADDRESS_TTL_S = 300
SOA_REFRESH_S, SOA_RETRY_S, SOA_EXPIRE_S = 3_600, 600, 86_400
WILDCARD = b"*"
ROUTED_TYPES = frozenset(
    (dns.rdatatype.A, dns.rdatatype.AAAA, dns.rdatatype.HTTPS, dns.rdatatype.SVCB)
)  # fmt: skip
SERVICE_TYPES = frozenset((dns.rdatatype.SRV,))

RdataType = dns.rdatatype.RdataType
RRset = dns.rrset.RRset


class LookupStatus(Enum):
    """The outcome of a lookup."""

    ANSWER = "answer"
    NODATA = "nodata"
    NXDOMAIN = "nxdomain"
    REFERRAL = "referral"
    ROUTED = "routed"  # the dispatcher chooses the servers


@dataclass(slots=True)
class LookupResult:
    """The result of looking up a name and a type.

    Attributes:
        status: The outcome.
        owner: The name looked up last: the queried one, or the target of a CNAME in `answer`.
        answer: Records of the answer section; of a routed name, the CNAMEs that lead to it.
        authority: Records of the authority section.
        additional: Records of the additional section.
        routed: The routed name, if the status is `ROUTED`.
    """

    status: LookupStatus
    owner: dns.name.Name
    answer: list[RRset] = field(default_factory=list)
    authority: list[RRset] = field(default_factory=list)
    additional: list[RRset] = field(default_factory=list)
    routed: RoutedName | None = None


@dataclass(slots=True, frozen=True)
class ZoneApex:
    """The data of the records at a zone's apex.

    Attributes:
        origin: The zone's name.
        nameservers: Names of name servers, at least one, with their addresses as glue.
        hostmaster: Mailbox of the SOA record.
        serial: Serial number of the SOA record.
        negative_ttl_s: TTL of negative answers.
    """

    origin: dns.name.Name
    nameservers: Mapping[str, Iterable[str]]
    hostmaster: str
    serial: int
    negative_ttl_s: int

    def soa(self) -> RRset:
        """Returns the SOA record; the first name server is its primary."""
        primary = dns.name.from_text(next(iter(self.nameservers)), self.origin)
        mailbox = dns.name.from_text(self.hostmaster, self.origin)
        times = f"{SOA_REFRESH_S} {SOA_RETRY_S} {SOA_EXPIRE_S} {self.negative_ttl_s}"
        text = f"{primary} {mailbox} {self.serial} {times}"
        return dns.rrset.from_text(self.origin, self.negative_ttl_s, "IN", "SOA", text)

    def ns_and_glue(self) -> Iterable[RRset]:
        """Yields the NS records, and the addresses of name servers within the zone."""
        servers = {
            dns.name.from_text(name, self.origin): list(addresses)
            for name, addresses in self.nameservers.items()
        }
        yield dns.rrset.from_text(self.origin, NS_TTL_S, "IN", "NS", *map(str, servers))
        for name, addresses in servers.items():
            if name.is_subdomain(self.origin):
                yield from address_rrsets(name, addresses, ADDRESS_TTL_S)


class Zone:
    """One zone: its records, and the names that exist by rule.

    Args:
        apex: The data of the apex records.
        rules: Which names exist by rule.
        own_address: Address of names that resolve to the director itself.
        records: Further records.
    """

    def __init__(
        self, apex: ZoneApex, rules: NamingRules, own_address: str, records: Iterable[RRset] = ()
    ) -> None:
        self.origin, self.rules, self.own_address = apex.origin, rules, own_address
        self.soa = apex.soa()
        self._records: dict[Labels, dict[RdataType, RRset]] = {}
        self._existing: set[Labels] = {()}  # names with records at or below them
        for rrset in (self.soa, *apex.ns_and_glue(), *records):
            self._add(rrset)

    def _add(self, rrset: RRset) -> None:
        labels = relative_labels(rrset.name, self.origin)
        by_type = self._records.setdefault(labels, {})
        present = by_type.get(rrset.rdtype)
        if present is not None:
            rdatas = [*present, *rrset]
            rrset = dns.rrset.from_rdata_list(rrset.name, min(present.ttl, rrset.ttl), rdatas)
        by_type[rrset.rdtype] = rrset
        for depth in range(len(labels)):
            self._existing.add(labels[depth:])

    def lookup(self, name: dns.name.Name, rdtype: RdataType) -> LookupResult:
        """Looks up a name within this zone and a type; follows CNAMEs within the zone."""
        chain: list[RRset] = []
        owner = name
        for _ in range(MAX_CNAME_CHAIN):
            result = self._lookup_one(owner, rdtype)
            is_alias = _ends_in_cname(result, rdtype)
            result.answer[:0] = chain
            if not is_alias:
                return result
            chain, owner = result.answer, result.answer[-1][0].target
            if not owner.is_subdomain(self.origin):
                return result
        return result

    def _lookup_one(self, name: dns.name.Name, rdtype: RdataType) -> LookupResult:
        labels = relative_labels(name, self.origin)
        delegation = self._find_delegation(labels, rdtype)
        if delegation is not None:
            return self._referral(name, delegation)
        if labels in self._records:
            rule_name = self.rules.classify(labels) if labels else None
            return self._from_records(name, self._records[labels], rdtype, rule_name)
        rule_name = self.rules.classify(labels)
        if rule_name is not None and not isinstance(rule_name, DirectorName):
            return self._from_rule(name, rule_name, rdtype)
        if labels in self._existing:
            return self._nodata(name)
        wildcard = self._records.get((WILDCARD, *self._closest_encloser(labels)))
        if wildcard is not None:
            return self._from_records(name, wildcard, rdtype, None)
        if rule_name is not None:
            return self._from_rule(name, rule_name, rdtype)
        return LookupResult(LookupStatus.NXDOMAIN, name, authority=[self.soa])

    def _closest_encloser(self, labels: Labels) -> Labels:
        """Returns the longest existing ancestor of a name (RFC 4592, section 3.3.1)."""
        ancestors = (labels[depth:] for depth in range(1, len(labels) + 1))
        return next(ancestor for ancestor in ancestors if self._exists(ancestor))

    def _exists(self, labels: Labels) -> bool:
        return labels in self._existing or not isinstance(self.rules.classify(labels), DirectorName | None)

    def _find_delegation(self, labels: Labels, rdtype: RdataType) -> Labels | None:
        """Returns the highest delegation at or above a name, except for DS at the delegation itself."""
        for depth in range(len(labels) - 1, -1, -1):
            ancestor = labels[depth:]
            if dns.rdatatype.NS in self._records.get(ancestor, {}):
                return None if depth == 0 and rdtype == dns.rdatatype.DS else ancestor
        return None

    def _referral(self, name: dns.name.Name, delegation: Labels) -> LookupResult:
        servers = self._records[delegation][dns.rdatatype.NS]
        return LookupResult(LookupStatus.REFERRAL, name, authority=[servers], additional=self._glue(servers))

    def _glue(self, servers: RRset) -> list[RRset]:
        """Returns the addresses of those name servers that lie within the zone, below delegations as well."""
        glue = []
        for server in servers:
            if server.target.is_subdomain(self.origin):
                by_type = self._records.get(relative_labels(server.target, self.origin), {})
                families = (dns.rdatatype.A, dns.rdatatype.AAAA)
                glue += [by_type[family] for family in families if family in by_type]
        return glue

    def _from_records(
        self,
        name: dns.name.Name,
        by_type: Mapping[RdataType, RRset],
        rdtype: RdataType,
        rule_name: RuleName | None,
    ) -> LookupResult:
        """Answers for a name that has records, and may exist by rule as well."""
        if rdtype == dns.rdatatype.ANY:
            return LookupResult(LookupStatus.ANSWER, name, [minimal_any_rrset(name)])
        if rdtype in by_type:
            rrset = with_owner(by_type[rdtype], name)
            additional = self._glue(rrset) if rdtype == dns.rdatatype.NS else []
            return LookupResult(LookupStatus.ANSWER, name, [rrset], additional=additional)
        if dns.rdatatype.CNAME in by_type:
            return LookupResult(LookupStatus.ANSWER, name, [with_owner(by_type[dns.rdatatype.CNAME], name)])
        if isinstance(rule_name, RoutedName | AddressName):
            return self._from_rule(name, rule_name, rdtype)
        return self._nodata(name)

    def _from_rule(self, name: dns.name.Name, rule_name: RuleName, rdtype: RdataType) -> LookupResult:
        if rdtype == dns.rdatatype.ANY and not isinstance(rule_name, EmptyNonTerminal):
            return LookupResult(LookupStatus.ANSWER, name, [minimal_any_rrset(name)])
        match rule_name:
            case RoutedName(is_service=is_service) if rdtype in (
                SERVICE_TYPES if is_service else ROUTED_TYPES
            ):
                return LookupResult(LookupStatus.ROUTED, name, routed=rule_name)
            case AddressName(address=address) if self.rules.is_ready_address(address):
                return self._address(name, address, rdtype)
            case DirectorName():
                return self._address(name, self.own_address, rdtype)
        return self._nodata(name)

    def _address(self, name: dns.name.Name, address: str, rdtype: RdataType) -> LookupResult:
        for rrset in address_rrsets(name, [address], ADDRESS_TTL_S):
            if rrset.rdtype == rdtype:
                return LookupResult(LookupStatus.ANSWER, name, [rrset])
        return self._nodata(name)

    def _nodata(self, name: dns.name.Name) -> LookupResult:
        return LookupResult(LookupStatus.NODATA, name, authority=[self.soa])


def _ends_in_cname(result: LookupResult, rdtype: RdataType) -> bool:
    """Whether the lookup continues at the target of a CNAME."""
    if result.status is not LookupStatus.ANSWER or not result.answer:
        return False
    if rdtype in (dns.rdatatype.CNAME, dns.rdatatype.ANY):
        return False
    return result.answer[-1].rdtype == dns.rdatatype.CNAME


def address_rrsets(owner: dns.name.Name, addresses: Iterable[str], ttl_s: int) -> list[RRset]:
    """Returns the A and AAAA sets of an owner's addresses."""
    by_type: dict[RdataType, list[dns.rdata.Rdata]] = {}
    for address in addresses:
        rdata = address_rdata(address)
        by_type.setdefault(rdata.rdtype, []).append(rdata)
    return [dns.rrset.from_rdata_list(owner, ttl_s, rdatas) for rdatas in by_type.values()]


@lru_cache(4_096)
def address_rdata(address: str) -> dns.rdata.Rdata:
    """Returns the A or AAAA data of an address; cached, since there are few servers."""
    return dns.rdata.from_text("IN", "AAAA" if ":" in address else "A", address)


def minimal_any_rrset(name: dns.name.Name) -> RRset:
    """Returns the answer to ANY (RFC 8482, section 4.2): one synthesized HINFO record."""
    return dns.rrset.from_text(name, NS_TTL_S, "IN", "HINFO", '"RFC8482" ""')


def with_owner(rrset: RRset, name: dns.name.Name) -> RRset:
    """Returns the same data under the queried name, which keeps its case or was matched by a wildcard."""
    return dns.rrset.from_rdata_list(name, rrset.ttl, list(rrset))


def closest_zone(zones: Iterable[Zone], name: dns.name.Name) -> Zone | None:
    """Returns the deepest zone that contains a name."""
    enclosing = [zone for zone in zones if name.is_subdomain(zone.origin)]
    return max(enclosing, key=lambda zone: len(zone.origin), default=None)

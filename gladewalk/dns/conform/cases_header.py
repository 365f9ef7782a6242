"""Checks that apply to every response: header, question, size, and equality by UDP and TCP."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial

import dns.flags
import dns.message
import dns.name
import dns.rcode

from .checks import expect
from .registry import CaseRegistry
from .target import MAX_PLAIN_UDP_BYTES, Target

CASES = CaseRegistry()

RESERVED_BIT = 0x0040  # Z (RFC 1035, section 4.1.1)


class QueryKind(Enum):
    """The queries that each check is run with, named by their expected response."""

    ROUTED = "routed"
    APEX = "apex"
    NODATA = "nodata"
    NXDOMAIN = "nxdomain"
    EMPTY = "empty"
    REFUSED = "refused"
    ANY = "any"


@dataclass(slots=True, frozen=True)
class ExpectedResponse:
    """A query, and the header values that its response must have."""

    name: dns.name.Name
    rdtype: str
    rcode: dns.rcode.Rcode = dns.rcode.NOERROR
    is_authoritative: bool = True


def expected_response(kind: QueryKind, target: Target) -> ExpectedResponse:
    """Returns the query of a kind, and its expected response."""
    match kind:
        case QueryKind.ROUTED:
            return ExpectedResponse(target.routed_name, "A")
        case QueryKind.APEX:
            return ExpectedResponse(target.zone, "SOA")
        case QueryKind.NODATA:
            return ExpectedResponse(target.routed_name, "TXT")
        case QueryKind.NXDOMAIN:
            return ExpectedResponse(target.below("no-such-name"), "A", dns.rcode.NXDOMAIN)
        case QueryKind.EMPTY:
            return ExpectedResponse(target.below(target.class_name), "A")
        case QueryKind.REFUSED:
            outside = dns.name.from_text("example.invalid.")
            return ExpectedResponse(outside, "A", dns.rcode.REFUSED, is_authoritative=False)
        case QueryKind.ANY:
            return ExpectedResponse(target.zone, "ANY")


def mixed_case(name: dns.name.Name) -> dns.name.Name:
    """Returns a name with every other letter in upper case (as with 0x20 encoding)."""
    text = "".join(
        letter.upper() if place % 2 else letter for place, letter in enumerate(name.to_text())
    )  # fmt: skip
    return dns.name.from_text(text)


def query_and_response(
    kind: QueryKind, target: Target, is_recursion_desired: bool = False
) -> tuple[dns.message.Message, dns.message.Message]:
    """Sends the query of a kind by UDP; returns both messages."""
    expected = expected_response(kind, target)
    query = target.build_query(expected.name, expected.rdtype)
    if is_recursion_desired:
        query.flags |= dns.flags.RD
    return query, target.send_query(query)


def check_code(kind: QueryKind, target: Target) -> None:
    """Requires the expected response code."""
    _, response = query_and_response(kind, target)
    rcode = expected_response(kind, target).rcode
    expect(response.rcode() == rcode, f"{response.rcode().name}, not {rcode.name}")


def check_bits(kind: QueryKind, target: Target) -> None:
    """Requires QR and the query's opcode, and neither TC nor Z."""
    query, response = query_and_response(kind, target)
    expect(response.flags & dns.flags.QR, "QR is not set")
    expect(response.opcode() == query.opcode(), f"the opcode {response.opcode().name}")
    expect(not response.flags & dns.flags.TC, "TC is set on a whole answer")
    expect(not response.flags & RESERVED_BIT, "the reserved bit Z is set")


def check_authority(kind: QueryKind, target: Target) -> None:
    """Requires AA where the zone is authoritative, and only there."""
    _, response = query_and_response(kind, target)
    is_authoritative = expected_response(kind, target).is_authoritative
    is_set = bool(response.flags & dns.flags.AA)
    expect(is_set == is_authoritative, f"AA is {'not set' if is_authoritative else 'set'}")


def check_recursion(kind: QueryKind, target: Target) -> None:
    """Requires RD as in the query, and no RA."""
    for is_desired in (False, True):
        _, response = query_and_response(kind, target, is_desired)
        is_set = bool(response.flags & dns.flags.RD)
        expect(is_set == is_desired, f"RD is {not is_desired} for {is_desired}")
        expect(not response.flags & dns.flags.RA, "RA is set by a server that does not recurse")


def check_security_bits(kind: QueryKind, target: Target) -> None:
    """Requires neither AD nor CD."""
    query, _ = query_and_response(kind, target)
    query.flags |= dns.flags.AD | dns.flags.CD
    response = target.send_query(query)
    expect(not response.flags & (dns.flags.AD | dns.flags.CD), "AD or CD is set without DNSSEC")


def check_question(kind: QueryKind, target: Target) -> None:
    """Requires the question as it was sent, in the same case."""
    expected = expected_response(kind, target)
    query = target.build_query(mixed_case(expected.name), expected.rdtype)
    response = target.send_query(query)
    expect(len(response.question) == 1, f"{len(response.question)} questions are sent back")
    sent, returned = query.question[0], response.question[0]
    expect(sent.name.labels == returned.name.labels, f"the case was not kept: {returned.name}")
    expect((sent.rdtype, sent.rdclass) == (returned.rdtype, returned.rdclass), "another type or class")


def check_size(kind: QueryKind, target: Target) -> None:
    """Requires at most 512 bytes without EDNS."""
    expected = expected_response(kind, target)
    wire = target.exchange_udp(target.build_query(expected.name, expected.rdtype).to_wire())
    expect(len(wire) <= MAX_PLAIN_UDP_BYTES, f"{len(wire)} bytes without EDNS")


def check_same_by_tcp(kind: QueryKind, target: Target) -> None:
    """Requires the same code and record sets by UDP and TCP."""
    query, by_udp = query_and_response(kind, target)
    (by_tcp,) = target.exchange_tcp(query)
    expect(by_udp.rcode() == by_tcp.rcode(), f"{by_udp.rcode().name} by UDP, {by_tcp.rcode().name} by TCP")
    udp_sets, tcp_sets = (
        {(rrset.name, rrset.rdtype) for rrset in response.answer} for response in (by_udp, by_tcp)
    )
    expect(udp_sets == tcp_sets, "other records by TCP")


@dataclass(slots=True, frozen=True)
class HeaderCheck:
    """A check that is run with a query of each kind."""

    name: str
    rfc: int
    section: str
    description: str
    check: Callable[[QueryKind, Target], None]


HEADER_CHECKS = (
    HeaderCheck("code", 1035, "4.1.1", "has the right code", check_code),
    HeaderCheck("bits", 1035, "4.1.1", "has QR, the opcode of the question, no Z and no TC", check_bits),
    HeaderCheck("aa", 1035, "4.1.1", "has AA as the zone has it", check_authority),
    HeaderCheck("rd", 1035, "4.1.1", "copies RD and has no RA", check_recursion),
    HeaderCheck("security", 4035, "3.1.6", "has neither AD nor CD", check_security_bits),
    HeaderCheck("question", 1035, "4.1.2", "sends the question back, its case kept", check_question),
    HeaderCheck("size", 1035, "4.2.1", "fits into 512 bytes without EDNS", check_size),
    HeaderCheck("tcp", 7766, "5", "is the same by TCP", check_same_by_tcp),
)

for header_check in HEADER_CHECKS:
    for query_kind in QueryKind:
        CASES.add(
            f"{header_check.name}-{query_kind.value}",
            header_check.rfc,
            header_check.section,
            f"an answer ({query_kind.value}) {header_check.description}",
            partial(header_check.check, query_kind),
        )

"""What holds for every answer, whatever is asked: its header, its question, its size."""

from __future__ import annotations

import dns.flags
import dns.message
import dns.name
import dns.rcode

from .suite import add
from .target import Target, expect

Kinds = dict[str, tuple[str, str, dns.rcode.Rcode, bool]]  # name below the zone, type, code, authoritative


def kinds(target: Target) -> Kinds:
    obj, cls = target.object_name, target.class_name
    return {
        "routed": (f"0.{obj}.{cls}", "A", dns.rcode.NOERROR, True),
        "apex": ("@", "SOA", dns.rcode.NOERROR, True),
        "nodata": (f"0.{obj}.{cls}", "TXT", dns.rcode.NOERROR, True),
        "nxdomain": ("no-such-name", "A", dns.rcode.NXDOMAIN, True),
        "empty": (cls, "A", dns.rcode.NOERROR, True),
        "refused": ("example.invalid.", "A", dns.rcode.REFUSED, False),
        "any": ("@", "ANY", dns.rcode.NOERROR, True),
    }


def mixed(name: dns.name.Name) -> dns.name.Name:
    """Every other letter in upper case (the 0x20 way)."""
    text = "".join(c.upper() if n % 2 else c for n, c in enumerate(name.to_text()))
    return dns.name.from_text(text)


def for_kind(kind: str, target: Target, rd: bool = False) -> tuple[dns.message.Message, dns.message.Message]:
    text, rdtype, _, _ = kinds(target)[kind]
    query = target.query(target.zone if text == "@" else target.below(text), rdtype)
    if rd:
        query.flags |= dns.flags.RD
    return query, target.answer(query)


def check_code(kind: str, target: Target) -> None:
    _, reply = for_kind(kind, target)
    wanted = kinds(target)[kind][2]
    expect(reply.rcode() == wanted, f"{reply.rcode().name}, not {wanted.name}")


def check_bits(kind: str, target: Target) -> None:
    query, reply = for_kind(kind, target)
    expect(reply.flags & dns.flags.QR, "QR is not set")
    expect(reply.opcode() == query.opcode(), f"the opcode {reply.opcode().name}")
    expect(not reply.flags & dns.flags.TC, "TC is set on a whole answer")
    expect(not reply.flags & 0x0040, "the reserved bit Z is set")


def check_authority(kind: str, target: Target) -> None:
    _, reply = for_kind(kind, target)
    wanted = kinds(target)[kind][3]
    expect(bool(reply.flags & dns.flags.AA) == wanted, f"AA is {'not set' if wanted else 'set'}")


def check_recursion(kind: str, target: Target) -> None:
    for rd in (False, True):
        _, reply = for_kind(kind, target, rd)
        expect(bool(reply.flags & dns.flags.RD) == rd, f"RD is {not rd} for {rd}")
        expect(not reply.flags & dns.flags.RA, "RA is set by a server that does not recurse")


def check_security_bits(kind: str, target: Target) -> None:
    query, _ = for_kind(kind, target)
    query.flags |= dns.flags.AD | dns.flags.CD
    reply = target.answer(query)
    expect(not reply.flags & (dns.flags.AD | dns.flags.CD), "AD or CD is set without DNSSEC")


def check_question(kind: str, target: Target) -> None:
    text, rdtype, _, _ = kinds(target)[kind]
    name = mixed(target.zone if text == "@" else target.below(text))
    query = target.query(name, rdtype)
    reply = target.answer(query)
    expect(len(reply.question) == 1, f"{len(reply.question)} questions are sent back")
    asked, told = query.question[0], reply.question[0]
    expect(asked.name.labels == told.name.labels, f"the case was not kept: {told.name}")
    expect((asked.rdtype, asked.rdclass) == (told.rdtype, told.rdclass), "another type or class")


def check_size(kind: str, target: Target) -> None:
    text, rdtype, _, _ = kinds(target)[kind]
    wire = target.udp(target.query(target.zone if text == "@" else target.below(text), rdtype).to_wire())
    expect(len(wire) <= 512, f"{len(wire)} bytes without EDNS")


def check_same_by_tcp(kind: str, target: Target) -> None:
    query, by_udp = for_kind(kind, target)
    (by_tcp,) = target.tcp(query)
    expect(by_udp.rcode() == by_tcp.rcode(), f"{by_udp.rcode().name} by UDP, {by_tcp.rcode().name} by TCP")
    expect(
        {(r.name, r.rdtype) for r in by_udp.answer} == {(r.name, r.rdtype) for r in by_tcp.answer},
        "other records by TCP",
    )


CHECKS = (
    ("code", 1035, "4.1.1", "has the right code", check_code),
    ("bits", 1035, "4.1.1", "has QR, the opcode of the question, no Z and no TC", check_bits),
    ("aa", 1035, "4.1.1", "has AA as the zone has it", check_authority),
    ("rd", 1035, "4.1.1", "copies RD and has no RA", check_recursion),
    ("security", 4035, "3.1.6", "has neither AD nor CD", check_security_bits),
    ("question", 1035, "4.1.2", "sends the question back, its case kept", check_question),
    ("size", 1035, "4.2.1", "fits into 512 bytes without EDNS", check_size),
    ("tcp", 7766, "5", "is the same by TCP", check_same_by_tcp),
)
KINDS = ("routed", "apex", "nodata", "nxdomain", "empty", "refused", "any")

for what, rfc, section, says, check in CHECKS:
    for one in KINDS:
        add(
            f"{what}-{one}", rfc, section, f"an answer ({one}) {says}",
            lambda target, one=one, check=check: check(one, target),  # type: ignore[misc]
        )  # fmt: skip

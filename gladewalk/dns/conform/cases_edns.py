"""EDNS and its options: size, versions, flags, cookies, client subnets, NSID, keep-alive, padding."""

from __future__ import annotations

import struct
from typing import Any

import dns.edns
import dns.flags
import dns.message
import dns.rcode

from .suite import add, case
from .target import Skipped, Target, expect

ECS, COOKIE, KEEPALIVE, PADDING, NSID = 8, 10, 11, 12, 3
CLIENT = bytes.fromhex("2464c4abcf10c957")


def raw_option(code: int, data: bytes) -> bytes:
    return struct.pack(">HH", code, len(data)) + data


def raw_query(
    target: Target, options: bytes = b"", opts: int = 1, ttl: int = 0, payload: int = 1232
) -> bytes:
    """A question with its OPT written by hand, for what a library would not write."""
    plain = bytearray(target.query(target.zone, "SOA").to_wire())
    plain[10:12] = opts.to_bytes(2, "big")
    opt = b"\0" + struct.pack(">HHIH", 41, payload, ttl, len(options)) + options
    return bytes(plain) + opt * opts


def with_options(target: Target, *options: dns.edns.Option, **more: Any) -> dns.message.Message:
    return target.ask(target.zone, "SOA", use_edns=0, options=list(options), **more)


def generic(code: int, data: bytes = b"") -> dns.edns.Option:
    return dns.edns.GenericOption(dns.edns.OptionType.make(code), data)


def option(reply: dns.message.Message, code: int) -> dns.edns.Option | None:
    return next((one for one in reply.options if int(one.otype) == code), None)


def formerr(target: Target, wire: bytes) -> None:
    code = target.rcode(wire)
    expect(code == dns.rcode.FORMERR, f"{dns.rcode.to_text(dns.rcode.Rcode(code))}, not FORMERR")


# The record itself.


@case(6891, "7")
def no_opt_unasked(target: Target) -> None:
    """Who does not speak EDNS is not spoken to in it."""
    expect(target.ask(target.zone, "SOA").edns < 0, "an OPT")


for kind in ("soa", "nxdomain", "refused", "nodata"):

    def opt_in_answer(target: Target, kind: str = kind) -> None:
        names = {
            "soa": (target.zone, "SOA"), "nxdomain": (target.below("no-such-name"), "A"),
            "refused": (target.zone.parent(), "A"), "nodata": (target.zone, "TXT"),
        }  # fmt: skip
        reply = target.ask(*names[kind], use_edns=0)
        expect(reply.edns == 0, f"version {reply.edns}")

    add(f"opt-in-answer-{kind}", 6891, "6.1.1", f"an answer ({kind}) to EDNS has an OPT", opt_in_answer)


@case(6891, "6.2.3")
def payload_told(target: Target) -> None:
    """The size that it takes itself is told, and is 512 at the least."""
    reply = target.ask(target.zone, "SOA", use_edns=0)
    expect(reply.payload >= 512, f"{reply.payload}")


@case(6891, "6.2.5")
def payload_unfragmented(target: Target) -> None:
    """What it takes passes common paths in one piece (as of 2020: up to 1,232 bytes, 4,096 at the most)."""
    expect(target.ask(target.zone, "SOA", use_edns=0).payload <= 4_096, "more than 4,096")


@case(6891, "6.2.5")
def payload_tiny(target: Target) -> None:
    """A size under 512 is taken for 512."""
    reply = target.ask(target.zone, "SOA", use_edns=0, payload=100)
    expect(reply.answer and not reply.flags & dns.flags.TC, "cut")


@case(6891, "6.2.5")
def payload_kept(target: Target) -> None:
    """No answer is longer than its asker takes."""
    for name, rdtype in ((target.zone, "NS"), (target.zone, "SOA"), (target.below("no-such-name"), "A")):
        wire = target.udp(target.query(name, rdtype, use_edns=0, payload=512).to_wire())
        expect(len(wire) <= 512, f"{len(wire)} bytes")


def version(target: Target, number: int) -> None:
    reply = target.answer(target.query(target.zone, "SOA", use_edns=number))
    expect(reply.rcode() == dns.rcode.BADVERS, f"{reply.rcode().name}, not BADVERS")
    expect(reply.edns == 0, f"its own version is told as {reply.edns}")
    expect(not reply.answer, "records all the same")


for number in (1, 2, 255):
    add(
        f"badvers-{number}", 6891, "6.1.3", f"version {number} is BADVERS, with the version it speaks",
        lambda target, number=number: version(target, number),  # type: ignore[misc]
    )  # fmt: skip


@case(6891, "6.1.4")
def flags_unknown(target: Target) -> None:
    """Unknown flags are ignored, and not sent back."""
    reply = target.read(target.udp(raw_query(target, ttl=0x00007FFF)))
    expect(reply.rcode() == dns.rcode.NOERROR, reply.rcode().name)
    expect(not reply.ednsflags & 0x7FFF, f"flags {reply.ednsflags:x}")


@case(3225, "3")
def do_copied(target: Target) -> None:
    """DO goes back as it came."""
    expect(target.ask(target.zone, "SOA", want_dnssec=True).ednsflags & dns.flags.DO, "DO is not set")
    expect(not target.ask(target.zone, "SOA", use_edns=0).ednsflags & dns.flags.DO, "DO is set")


@case(3225, "3")
def do_adds_nothing(target: Target) -> None:
    """An unsigned zone has no signatures to add."""
    reply = target.ask(target.zone, "SOA", want_dnssec=True)
    expect(len(reply.answer) == 1, f"{len(reply.answer)} sets")


@case(6891, "6.1.1")
def two_opts(target: Target) -> None:
    """Two OPTs are FORMERR."""
    formerr(target, raw_query(target, opts=2))


@case(6891, "6.1.2")
def opt_of_a_name(target: Target) -> None:
    """An OPT whose owner is not the root is FORMERR."""
    plain = bytearray(target.query(target.zone, "SOA").to_wire())
    plain[10:12] = b"\0\1"
    formerr(target, bytes(plain) + b"\1x\0" + struct.pack(">HHIH", 41, 1232, 0, 0))


@case(6891, "6.1.2")
def option_cut(target: Target) -> None:
    """An option that is longer than its OPT is FORMERR."""
    formerr(target, raw_query(target, struct.pack(">HH", 65_001, 20) + b"short"))


@case(6891, "6.1.2")
def option_head_cut(target: Target) -> None:
    """An option without its length is FORMERR."""
    formerr(target, raw_query(target, b"\xfd\xe9\0"))


for code in (65_001, 4, 26_946):
    add(
        f"option-unknown-{code}", 6891, "6.1.2", f"option {code} is ignored and not sent back",
        lambda target, code=code: expect(  # type: ignore[misc]
            option(with_options(target, generic(code, b"abc")), code) is None, "sent back"
        ),
    )  # fmt: skip


@case(6891, "6.1.2")
def options_many(target: Target) -> None:
    """Many unknown options are ignored, too."""
    reply = with_options(target, *(generic(65_100 + n, bytes(n)) for n in range(30)))
    expect(reply.rcode() == dns.rcode.NOERROR and reply.answer, reply.rcode().name)


# NSID, keep-alive, padding.


@case(5001, "2.1")
def nsid_unasked(target: Target) -> None:
    """NSID is told to those who ask alone."""
    expect(option(target.ask(target.zone, "SOA", use_edns=0), NSID) is None, "told unasked")


@case(5001, "2.2")
def nsid_asked(target: Target) -> None:
    """Who asks for it hears it, where there is one."""
    found = option(with_options(target, generic(NSID)), NSID)
    if found is None:
        raise Skipped("no NSID is set")
    expect(len(found.to_wire() or b"") > 0, "an empty one")


@case(7828, "3.2.1")
def keepalive_by_udp(target: Target) -> None:
    """Keep-alive means nothing by UDP, and is not sent back."""
    expect(option(with_options(target, generic(KEEPALIVE)), KEEPALIVE) is None, "sent back")


@case(7828, "3.3.2")
def keepalive_by_tcp(target: Target) -> None:
    """By TCP it tells for how long a connection may idle."""
    query = target.query(target.zone, "SOA", use_edns=0, options=[generic(KEEPALIVE)])
    found = option(target.tcp(query)[0], KEEPALIVE)
    expect(found is not None and len(found.to_wire() or b"") == 2, f"{found}")


@case(7830, "4")
def padding_by_udp(target: Target) -> None:
    """Padding by UDP is not answered in kind: it would only amplify."""
    expect(option(with_options(target, generic(PADDING, bytes(20))), PADDING) is None, "padded")


# Client subnets.


def subnet(family: int, source: int, scope: int, address: bytes) -> bytes:
    return raw_option(ECS, struct.pack(">HBB", family, source, scope) + address)


for name, why, data in (
    ("family", "an unknown family", subnet(3, 24, 0, b"\xc0\x00\x02")),
    ("source", "a prefix longer than an address", subnet(1, 33, 0, b"\xc0\x00\x02\x01\x00")),
    ("scope", "a scope in a question", subnet(1, 24, 24, b"\xc0\x00\x02")),
    ("bits", "bits behind the prefix", subnet(1, 20, 0, b"\xc0\x00\x0f")),
    ("short", "an address shorter than its prefix", subnet(1, 24, 0, b"\xc0")),
    ("long", "an address longer than its prefix", subnet(1, 16, 0, b"\xc0\x00\x02\x01")),
):
    add(
        f"ecs-{name}", 7871, "7.1.2", f"a client subnet with {why} is FORMERR",
        lambda target, data=data: formerr(target, raw_query(target, data)),  # type: ignore[misc]
    )  # fmt: skip


@case(7871, "7.2.1")
def ecs_unasked(target: Target) -> None:
    """No client subnet is told to who sent none."""
    expect(option(target.ask(target.zone, "SOA", use_edns=0), ECS) is None, "told unasked")


@case(7871, "7.2.1")
def ecs_echoed(target: Target) -> None:
    """Where one is sent back, family, source and address are those of the question."""
    reply = with_options(target, dns.edns.ECSOption("192.0.2.0", 24))
    found = option(reply, ECS)
    if found is None:
        raise Skipped("this asker is not trusted to send one")
    seen = found.to_wire() or b""
    expect(seen[:3] == b"\0\1\x18" and seen[4:] == b"\xc0\0\x02", seen.hex())
    expect(seen[3] <= 24, f"scope {seen[3]} is longer than what was told")


@case(7871, "7.1.2")
def ecs_zero(target: Target) -> None:
    """A /0 is legal: its client wants not to be known."""
    reply = with_options(target, dns.edns.ECSOption("0.0.0.0", 0))
    expect(reply.rcode() == dns.rcode.NOERROR and reply.answer, reply.rcode().name)


# Cookies.


def cookie(reply: dns.message.Message) -> bytes | None:
    found = option(reply, COOKIE)
    return None if found is None else found.to_wire()


def cookie_for(target: Target, client: bytes) -> bytes:
    seen = cookie(with_options(target, generic(COOKIE, client)))
    if seen is None:
        raise Skipped("cookies are off")
    return seen


for length in (0, 1, 7, 9, 15, 41, 64):
    add(
        f"cookie-length-{length}", 7873, "5.2.2", f"a cookie of {length} bytes is FORMERR",
        lambda target, length=length: formerr(  # type: ignore[misc]
            target, raw_query(target, raw_option(COOKIE, bytes(range(length))))
        ),
    )  # fmt: skip


@case(7873, "5.2")
def cookie_unasked(target: Target) -> None:
    """Who sends no cookie gets none."""
    expect(cookie(target.ask(target.zone, "SOA", use_edns=0)) is None, "a cookie unasked")


@case(7873, "5.2.3")
def cookie_given(target: Target) -> None:
    """A client's part goes back with a server's part of 8 to 32 bytes behind it."""
    seen = cookie_for(target, CLIENT)
    expect(seen[:8] == CLIENT and 16 <= len(seen) <= 40, seen.hex())


@case(9018, "4")
def cookie_form(target: Target) -> None:
    """The server's part is of version 1, with this time: any server of a set can read it."""
    seen = cookie_for(target, CLIENT)
    expect(len(seen) == 24 and seen[8:12] == b"\1\0\0\0", seen.hex())


@case(7873, "4.2")
def cookie_by_client(target: Target) -> None:
    """Another client's part gets another server's part."""
    expect(cookie_for(target, CLIENT)[8:] != cookie_for(target, CLIENT[::-1])[8:], "the same")


@case(7873, "5.2.5")
def cookie_shown(target: Target) -> None:
    """Its own cookie is taken, and answered with one."""
    seen = cookie_for(target, CLIENT)
    reply = with_options(target, generic(COOKIE, seen))
    expect(reply.rcode() == dns.rcode.NOERROR and reply.answer, reply.rcode().name)
    expect((cookie(reply) or b"")[:8] == CLIENT, "no cookie back")


@case(7873, "5.2.4")
def cookie_forged(target: Target) -> None:
    """A forged server's part is answered with a good one, as an answer or as BADCOOKIE."""
    seen = cookie_for(target, CLIENT)
    forged = seen[:-1] + bytes([seen[-1] ^ 1])
    reply = with_options(target, generic(COOKIE, forged))
    expect(reply.rcode() in (dns.rcode.NOERROR, dns.rcode.BADCOOKIE), reply.rcode().name)
    expect(cookie(reply) not in (None, forged), "no fresh cookie")


@case(7873, "5.4")
def cookie_alone(target: Target) -> None:
    """A question without a question asks for a cookie alone."""
    cookie_for(target, CLIENT)
    query = dns.message.Message()
    query.use_edns(0, options=[generic(COOKIE, CLIENT)])
    query.flags = dns.flags.Flag(0)
    reply = target.read(target.udp(query.to_wire()))
    expect(reply.rcode() == dns.rcode.NOERROR and not reply.question, reply.rcode().name)
    expect((cookie(reply) or b"")[:8] == CLIENT, "no cookie")

"""EDNS and its options: size, versions, flags, cookies, client subnets, NSID, keep-alive, padding."""

from __future__ import annotations

import struct
from functools import partial
from typing import Any

import dns.edns
import dns.flags
import dns.message
import dns.rcode

from .checks import CheckSkippedError, expect
from .registry import CaseRegistry
from .target import MAX_PLAIN_UDP_BYTES, Target

CASES = CaseRegistry()

ECS, COOKIE, NSID = dns.edns.OptionType.ECS, dns.edns.OptionType.COOKIE, dns.edns.OptionType.NSID
KEEPALIVE, PADDING = dns.edns.OptionType.KEEPALIVE, dns.edns.OptionType.PADDING
OPT_TYPE = 41
CLIENT_COOKIE = bytes.fromhex("2464c4abcf10c957")


def raw_option(code: int, data: bytes) -> bytes:
    """Returns the bytes of an option."""
    return struct.pack(">HH", code, len(data)) + data


def raw_query(
    target: Target, options: bytes = b"", opt_count: int = 1, ttl: int = 0, payload: int = 1232
) -> bytes:
    """Returns a query with raw OPT records, which may be malformed in ways that the library cannot write."""
    plain = bytearray(target.build_query(target.zone, "SOA").to_wire())
    plain[10:12] = opt_count.to_bytes(2, "big")
    opt = b"\0" + struct.pack(">HHIH", OPT_TYPE, payload, ttl, len(options)) + options
    return bytes(plain) + opt * opt_count


def lookup_with_options(target: Target, *options: dns.edns.Option, **more: Any) -> dns.message.Message:
    """Sends a query with options, and returns the response."""
    return target.lookup(target.zone, "SOA", use_edns=0, options=list(options), **more)


def make_option(code: int, data: bytes = b"") -> dns.edns.Option:
    """Returns an option with raw data."""
    return dns.edns.GenericOption(dns.edns.OptionType.make(code), data)


def find_option(response: dns.message.Message, code: int) -> dns.edns.Option | None:
    """Returns the first option of a response that has a code."""
    return next((option for option in response.options if int(option.otype) == code), None)


def expect_formerr(target: Target, wire: bytes) -> None:
    """Requires FORMERR for raw bytes."""
    rcode = target.rcode(wire)
    expect(rcode == dns.rcode.FORMERR, f"{dns.rcode.to_text(dns.rcode.Rcode(rcode))}, not FORMERR")


# The OPT record.


@CASES.case(6891, "7")
def no_opt_unasked(target: Target) -> None:
    """Who does not speak EDNS is not spoken to in it."""
    expect(target.lookup(target.zone, "SOA").edns < 0, "an OPT")


def check_has_opt(kind: str, target: Target) -> None:
    """Requires an OPT of version 0 in one kind of response."""
    queries = {
        "soa": (target.zone, "SOA"),
        "nxdomain": (target.below("no-such-name"), "A"),
        "refused": (target.zone.parent(), "A"),
        "nodata": (target.zone, "TXT"),
    }
    response = target.lookup(*queries[kind], use_edns=0)
    expect(response.edns == 0, f"version {response.edns}")


for response_kind in ("soa", "nxdomain", "refused", "nodata"):
    CASES.add(
        f"opt-in-answer-{response_kind}",
        6891,
        "6.1.1",
        f"an answer ({response_kind}) to EDNS has an OPT",
        partial(check_has_opt, response_kind),
    )


@CASES.case(6891, "6.2.3")
def payload_told(target: Target) -> None:
    """The size that it takes itself is told, and is 512 at the least."""
    response = target.lookup(target.zone, "SOA", use_edns=0)
    expect(response.payload >= MAX_PLAIN_UDP_BYTES, f"{response.payload}")


@CASES.case(6891, "6.2.5")
def payload_unfragmented(target: Target) -> None:
    """What it takes passes common paths in one piece (as of 2020: up to 1,232 bytes, 4,096 at the most)."""
    expect(target.lookup(target.zone, "SOA", use_edns=0).payload <= 4_096, "more than 4,096")


@CASES.case(6891, "6.2.5")
def payload_tiny(target: Target) -> None:
    """A size under 512 is taken for 512."""
    response = target.lookup(target.zone, "SOA", use_edns=0, payload=100)
    expect(response.answer and not response.flags & dns.flags.TC, "cut")


@CASES.case(6891, "6.2.5")
def payload_kept(target: Target) -> None:
    """No answer is longer than its asker takes."""
    for name, rdtype in ((target.zone, "NS"), (target.zone, "SOA"), (target.below("no-such-name"), "A")):
        wire = target.exchange_udp(target.build_query(name, rdtype, use_edns=0, payload=512).to_wire())
        expect(len(wire) <= MAX_PLAIN_UDP_BYTES, f"{len(wire)} bytes")


def check_badvers(version: int, target: Target) -> None:
    """Requires BADVERS and version 0 for a query of another version."""
    response = target.send_query(target.build_query(target.zone, "SOA", use_edns=version))
    expect(response.rcode() == dns.rcode.BADVERS, f"{response.rcode().name}, not BADVERS")
    expect(response.edns == 0, f"its own version is told as {response.edns}")
    expect(not response.answer, "records all the same")


for edns_version in (1, 2, 255):
    CASES.add(
        f"badvers-{edns_version}",
        6891,
        "6.1.3",
        f"version {edns_version} is BADVERS, with the version it speaks",
        partial(check_badvers, edns_version),
    )


@CASES.case(6891, "6.1.4")
def flags_unknown(target: Target) -> None:
    """Unknown flags are ignored, and not sent back."""
    response = target.parse_response(target.exchange_udp(raw_query(target, ttl=0x00007FFF)))
    expect(response.rcode() == dns.rcode.NOERROR, response.rcode().name)
    expect(not response.ednsflags & 0x7FFF, f"flags {response.ednsflags:x}")


@CASES.case(3225, "3")
def do_copied(target: Target) -> None:
    """DO goes back as it came."""
    expect(target.lookup(target.zone, "SOA", want_dnssec=True).ednsflags & dns.flags.DO, "DO is not set")
    expect(not target.lookup(target.zone, "SOA", use_edns=0).ednsflags & dns.flags.DO, "DO is set")


@CASES.case(3225, "3")
def do_adds_nothing(target: Target) -> None:
    """An unsigned zone has no signatures to add."""
    response = target.lookup(target.zone, "SOA", want_dnssec=True)
    expect(len(response.answer) == 1, f"{len(response.answer)} sets")


@CASES.case(6891, "6.1.1")
def two_opts(target: Target) -> None:
    """Two OPTs are FORMERR."""
    expect_formerr(target, raw_query(target, opt_count=2))


@CASES.case(6891, "6.1.2")
def opt_of_a_name(target: Target) -> None:
    """An OPT whose owner is not the root is FORMERR."""
    plain = bytearray(target.build_query(target.zone, "SOA").to_wire())
    plain[10:12] = b"\0\1"
    expect_formerr(target, bytes(plain) + b"\1x\0" + struct.pack(">HHIH", OPT_TYPE, 1232, 0, 0))


@CASES.case(6891, "6.1.2")
def option_cut(target: Target) -> None:
    """An option that is longer than its OPT is FORMERR."""
    expect_formerr(target, raw_query(target, struct.pack(">HH", 65_001, 20) + b"short"))


@CASES.case(6891, "6.1.2")
def option_head_cut(target: Target) -> None:
    """An option without its length is FORMERR."""
    expect_formerr(target, raw_query(target, b"\xfd\xe9\0"))


def check_unknown_option(code: int, target: Target) -> None:
    """Requires a response without an unknown option that was sent."""
    response = lookup_with_options(target, make_option(code, b"abc"))
    expect(find_option(response, code) is None, "sent back")


for option_code in (65_001, 4, 26_946):
    CASES.add(
        f"option-unknown-{option_code}",
        6891,
        "6.1.2",
        f"option {option_code} is ignored and not sent back",
        partial(check_unknown_option, option_code),
    )


@CASES.case(6891, "6.1.2")
def options_many(target: Target) -> None:
    """Many unknown options are ignored, too."""
    response = lookup_with_options(target, *(make_option(65_100 + n, bytes(n)) for n in range(30)))
    expect(response.rcode() == dns.rcode.NOERROR and response.answer, response.rcode().name)


# NSID, keep-alive, padding.


@CASES.case(5001, "2.1")
def nsid_unasked(target: Target) -> None:
    """NSID is told to those who ask alone."""
    expect(find_option(target.lookup(target.zone, "SOA", use_edns=0), NSID) is None, "told unasked")


@CASES.case(5001, "2.2")
def nsid_asked(target: Target) -> None:
    """Who asks for it hears it, where there is one."""
    found = find_option(lookup_with_options(target, make_option(NSID)), NSID)
    if found is None:
        raise CheckSkippedError("no NSID is set")
    expect(len(found.to_wire() or b"") > 0, "an empty one")


@CASES.case(7828, "3.2.1")
def keepalive_by_udp(target: Target) -> None:
    """Keep-alive means nothing by UDP, and is not sent back."""
    expect(find_option(lookup_with_options(target, make_option(KEEPALIVE)), KEEPALIVE) is None, "sent back")


@CASES.case(7828, "3.3.2")
def keepalive_by_tcp(target: Target) -> None:
    """By TCP it tells for how long a connection may idle."""
    query = target.build_query(target.zone, "SOA", use_edns=0, options=[make_option(KEEPALIVE)])
    found = find_option(target.exchange_tcp(query)[0], KEEPALIVE)
    expect(found is not None and len(found.to_wire() or b"") == 2, f"{found}")


@CASES.case(7830, "4")
def padding_by_udp(target: Target) -> None:
    """Padding by UDP is not answered in kind: it would only amplify."""
    expect(
        find_option(lookup_with_options(target, make_option(PADDING, bytes(20))), PADDING) is None,
        "padded",
    )


# Client subnets.


def raw_subnet(family: int, source: int, scope: int, address: bytes) -> bytes:
    """Returns the bytes of a client subnet option (RFC 7871, section 6)."""
    return raw_option(ECS, struct.pack(">HBB", family, source, scope) + address)


def check_malformed_subnet(option: bytes, target: Target) -> None:
    """Requires FORMERR for a malformed client subnet."""
    expect_formerr(target, raw_query(target, option))


for label, fault, raw_subnet_option in (
    ("family", "an unknown family", raw_subnet(3, 24, 0, b"\xc0\x00\x02")),
    ("source", "a prefix longer than an address", raw_subnet(1, 33, 0, b"\xc0\x00\x02\x01\x00")),
    ("scope", "a scope in a question", raw_subnet(1, 24, 24, b"\xc0\x00\x02")),
    ("bits", "bits behind the prefix", raw_subnet(1, 20, 0, b"\xc0\x00\x0f")),
    ("short", "an address shorter than its prefix", raw_subnet(1, 24, 0, b"\xc0")),
    ("long", "an address longer than its prefix", raw_subnet(1, 16, 0, b"\xc0\x00\x02\x01")),
):
    CASES.add(
        f"ecs-{label}",
        7871,
        "7.1.2",
        f"a client subnet with {fault} is FORMERR",
        partial(check_malformed_subnet, raw_subnet_option),
    )


@CASES.case(7871, "7.2.1")
def ecs_unasked(target: Target) -> None:
    """No client subnet is told to who sent none."""
    expect(find_option(target.lookup(target.zone, "SOA", use_edns=0), ECS) is None, "told unasked")


@CASES.case(7871, "7.2.1")
def ecs_echoed(target: Target) -> None:
    """Where one is sent back, family, source and address are those of the question."""
    response = lookup_with_options(target, dns.edns.ECSOption("192.0.2.0", 24))
    found = find_option(response, ECS)
    if found is None:
        raise CheckSkippedError("this asker is not trusted to send one")
    received = found.to_wire() or b""
    expect(received[:3] == b"\0\1\x18" and received[4:] == b"\xc0\0\x02", received.hex())
    expect(received[3] <= 24, f"scope {received[3]} is longer than what was told")


@CASES.case(7871, "7.1.2")
def ecs_zero(target: Target) -> None:
    """A /0 is legal: its client wants not to be known."""
    response = lookup_with_options(target, dns.edns.ECSOption("0.0.0.0", 0))
    expect(response.rcode() == dns.rcode.NOERROR and response.answer, response.rcode().name)


# Cookies.


def find_cookie(response: dns.message.Message) -> bytes | None:
    """Returns both halves of a response's cookie."""
    found = find_option(response, COOKIE)
    return None if found is None else found.to_wire()


def request_cookie(target: Target, client_cookie: bytes) -> bytes:
    """Sends a client cookie, and returns the cookie of the response.

    Raises:
        CheckSkippedError: The response has no cookie.
    """
    received = find_cookie(lookup_with_options(target, make_option(COOKIE, client_cookie)))
    if received is None:
        raise CheckSkippedError("cookies are off")
    return received


def check_cookie_length(size_bytes: int, target: Target) -> None:
    """Requires FORMERR for a cookie of an invalid size."""
    expect_formerr(target, raw_query(target, raw_option(COOKIE, bytes(range(size_bytes)))))


for cookie_bytes in (0, 1, 7, 9, 15, 41, 64):
    CASES.add(
        f"cookie-length-{cookie_bytes}",
        7873,
        "5.2.2",
        f"a cookie of {cookie_bytes} bytes is FORMERR",
        partial(check_cookie_length, cookie_bytes),
    )


@CASES.case(7873, "5.2")
def cookie_unasked(target: Target) -> None:
    """Who sends no cookie gets none."""
    expect(find_cookie(target.lookup(target.zone, "SOA", use_edns=0)) is None, "a cookie unasked")


@CASES.case(7873, "5.2.3")
def cookie_given(target: Target) -> None:
    """A client's part goes back with a server's part of 8 to 32 bytes behind it."""
    received = request_cookie(target, CLIENT_COOKIE)
    expect(received[:8] == CLIENT_COOKIE and 16 <= len(received) <= 40, received.hex())


@CASES.case(9018, "4")
def cookie_form(target: Target) -> None:
    """The server's part is of version 1, with this time: any server of a set can read it."""
    received = request_cookie(target, CLIENT_COOKIE)
    expect(len(received) == 24 and received[8:12] == b"\1\0\0\0", received.hex())


@CASES.case(7873, "4.2")
def cookie_by_client(target: Target) -> None:
    """Another client's part gets another server's part."""
    expect(
        request_cookie(target, CLIENT_COOKIE)[8:] != request_cookie(target, CLIENT_COOKIE[::-1])[8:],
        "the same",
    )


@CASES.case(7873, "5.2.5")
def cookie_shown(target: Target) -> None:
    """Its own cookie is taken, and answered with one."""
    received = request_cookie(target, CLIENT_COOKIE)
    response = lookup_with_options(target, make_option(COOKIE, received))
    expect(response.rcode() == dns.rcode.NOERROR and response.answer, response.rcode().name)
    expect((find_cookie(response) or b"")[:8] == CLIENT_COOKIE, "no cookie back")


@CASES.case(7873, "5.2.4")
def cookie_forged(target: Target) -> None:
    """A forged server's part is answered with a good one, as an answer or as BADCOOKIE."""
    received = request_cookie(target, CLIENT_COOKIE)
    forged = received[:-1] + bytes([received[-1] ^ 1])
    response = lookup_with_options(target, make_option(COOKIE, forged))
    expect(response.rcode() in (dns.rcode.NOERROR, dns.rcode.BADCOOKIE), response.rcode().name)
    expect(find_cookie(response) not in (None, forged), "no fresh cookie")


@CASES.case(7873, "5.4")
def cookie_alone(target: Target) -> None:
    """A question without a question asks for a cookie alone."""
    request_cookie(target, CLIENT_COOKIE)
    query = dns.message.Message()
    query.use_edns(0, options=[make_option(COOKIE, CLIENT_COOKIE)])
    query.flags = dns.flags.Flag(0)
    response = target.parse_response(target.exchange_udp(query.to_wire()))
    expect(response.rcode() == dns.rcode.NOERROR and not response.question, response.rcode().name)
    expect((find_cookie(response) or b"")[:8] == CLIENT_COOKIE, "no cookie")

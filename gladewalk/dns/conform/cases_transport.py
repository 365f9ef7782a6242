"""Transports: TCP (RFC 7766) and TLS (RFC 7858)."""

from __future__ import annotations

import socket
import ssl
import struct

import dns.flags
import dns.message
import dns.rcode

from .cases_edns import PADDING, find_option, make_option
from .checks import CheckFailedError, expect
from .registry import CaseRegistry
from .target import LENGTH_BYTES, RCODE_MASK, Target

CASES = CaseRegistry()

PADDING_BLOCK_BYTES = 468  # RFC 8467, section 4.1


def soa_query(target: Target, query_id: int = 0) -> dns.message.Message:
    """Returns a valid query, with a random id if none is given."""
    query = target.build_query(target.zone, "SOA")
    query.id = query_id or query.id
    return query


def expect_pipelining(target: Target, count: int, tls: bool = False) -> None:
    """Requires responses to several queries in one write, in any order."""
    queries = [soa_query(target, 1_000 + number) for number in range(count)]
    answered = {response.id for response in target.exchange_tcp(*queries, tls=tls)}
    expect(answered == {query.id for query in queries}, f"{len(answered)} of {count}")


@CASES.case(7766, "5")
def tcp_answers(target: Target) -> None:
    """A question by TCP is answered."""
    expect_pipelining(target, 1)


@CASES.case(7766, "6.2.1.1")
def tcp_pipelined(target: Target) -> None:
    """Several questions in one write are all answered."""
    expect_pipelining(target, 3)


@CASES.case(7766, "6.2.1.1")
def tcp_pipelined_many(target: Target) -> None:
    """As are a hundred."""
    expect_pipelining(target, 100)


@CASES.case(7766, "6.2.1")
def tcp_reused(target: Target) -> None:
    """A connection serves one question after the other."""
    with target.connection() as connection:
        for number in (1, 2, 3):
            connection.send(soa_query(target, number).to_wire())
            expect(target.parse_response(connection.receive()).id == number, "another id")


@CASES.case(7766, "8")
def tcp_byte_by_byte(target: Target) -> None:
    """A question that comes a byte at a time is one question."""
    wire = soa_query(target, 7).to_wire()
    with target.connection() as connection:
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for byte in len(wire).to_bytes(LENGTH_BYTES, "big") + wire:
            connection.sock.sendall(bytes([byte]))
        expect(target.parse_response(connection.receive()).id == 7, "another id")


@CASES.case(7766, "8")
def tcp_one_write(target: Target) -> None:
    """The answer's length and the answer fit together."""
    with target.connection() as connection:
        connection.send(soa_query(target, 8).to_wire())
        wire = connection.receive()
        expect(target.parse_response(wire).answer, "no answer within its length")


@CASES.case(1035, "4.2.2")
def tcp_not_cut(target: Target) -> None:
    """By TCP nothing is cut."""
    for rdtype in ("NS", "SOA", "ANY"):
        (response,) = target.exchange_tcp(target.build_query(target.zone, rdtype, use_edns=0, payload=512))
        expect(not response.flags & dns.flags.TC, f"{rdtype} is cut")


@CASES.case(7766, "6.2.3")
def tcp_goes_on_after_an_error(target: Target) -> None:
    """A broken message does not end the connection for good ones behind it."""
    with target.connection() as connection:
        broken = soa_query(target, 9).to_wire()[:-2]
        connection.send(broken, soa_query(target, 10).to_wire())
        responses = connection.receive(), connection.receive()
        codes = {int.from_bytes(wire[:2], "big"): wire[3] & RCODE_MASK for wire in responses}
        expect(codes == {9: dns.rcode.FORMERR, 10: dns.rcode.NOERROR}, str(codes))


@CASES.case(7766, "8")
def tcp_empty_message(target: Target) -> None:
    """A message of no length harms nobody: the connection goes on, or is closed."""
    with target.connection() as connection:
        connection.send(b"", soa_query(target, 11).to_wire())
        try:
            expect(target.parse_response(connection.receive()).id == 11, "another id")
        except (CheckFailedError, OSError):  # the server closed the connection
            expect(target.exchange_tcp(soa_query(target, 12))[0].id == 12, "no new connection is served")


@CASES.case(7766, "6.2.4")
def tcp_half_closed(target: Target) -> None:
    """Who has said all and closes its side is answered yet."""
    with target.connection() as connection:
        connection.send(target.build_query(target.routed_name, "A").to_wire())
        connection.sock.shutdown(socket.SHUT_WR)
        expect(target.parse_response(connection.receive()).rcode() == dns.rcode.NOERROR, "an error")


@CASES.case(7766, "6.2.4")
def tcp_cut_short(target: Target) -> None:
    """A connection that ends within a message harms nobody."""
    with target.connection() as connection:
        connection.sock.sendall(b"\x00\x40half of it")
    expect_pipelining(target, 1)


@CASES.case(7766, "6.2.2")
def tcp_beside(target: Target) -> None:
    """One connection that says nothing keeps none of the others."""
    with target.connection(), target.connection() as second:
        second.send(soa_query(target, 13).to_wire())
        expect(target.parse_response(second.receive()).id == 13, "another id")


@CASES.case(7766, "8")
def tcp_aborted(target: Target) -> None:
    """A connection that is reset with questions open harms nobody."""
    with target.connection() as connection:
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.send(*(target.build_query(target.routed_name, "A").to_wire() for _ in range(10)))
    expect_pipelining(target, 1)


@CASES.case(1035, "4.2.1")
def udp_and_tcp_at_one_port(target: Target) -> None:
    """Both are served at the same port."""
    expect(target.send_query(soa_query(target)).answer, "none by UDP")
    expect(target.exchange_tcp(soa_query(target))[0].answer, "none by TCP")


# TLS.


@CASES.case(7858, "3.1")
def tls_answers(target: Target) -> None:
    """A question by TLS is answered."""
    expect_pipelining(target, 1, tls=True)


@CASES.case(7858, "3.3")
def tls_pipelined(target: Target) -> None:
    """Several in one write, too."""
    expect_pipelining(target, 20, tls=True)


@CASES.case(8310, "9")
def tls_version(target: Target) -> None:
    """It speaks TLS 1.2 at the least."""
    with target.connection(tls=True) as connection:
        assert isinstance(connection.sock, ssl.SSLSocket)
        expect(connection.sock.version() in ("TLSv1.2", "TLSv1.3"), str(connection.sock.version()))


@CASES.case(7858, "3.1")
def tls_alpn(target: Target) -> None:
    """Of the protocols offered it takes its own (dot)."""
    with target.connection(tls=True) as connection:
        assert isinstance(connection.sock, ssl.SSLSocket)
        chosen = connection.sock.selected_alpn_protocol()
        expect(chosen in ("dot", None), str(chosen))


@CASES.case(8467, "4.1")
def tls_padded(target: Target) -> None:
    """Who pads hears padded answers, of a multiple of 468 bytes."""
    query = target.build_query(target.zone, "SOA", use_edns=0, options=[make_option(PADDING, bytes(32))])
    with target.connection(tls=True) as connection:
        connection.send(query.to_wire())
        wire = connection.receive()
    expect(len(wire) % PADDING_BLOCK_BYTES == 0, f"{len(wire)} bytes")


@CASES.case(7830, "4")
def tls_not_padded_unasked(target: Target) -> None:
    """Who does not pad hears no padding."""
    (response,) = target.exchange_tcp(target.build_query(target.zone, "SOA", use_edns=0), tls=True)
    expect(find_option(response, PADDING) is None, "padding")

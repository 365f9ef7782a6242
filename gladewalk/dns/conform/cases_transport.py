"""TCP and TLS."""

from __future__ import annotations

import socket
import ssl
import struct

import dns.flags
import dns.message
import dns.rcode

from .cases_edns import PADDING, generic, option
from .suite import case
from .target import Target, expect


def soa(target: Target, number: int = 0) -> dns.message.Message:
    query = target.query(target.zone, "SOA")
    query.id = number or query.id
    return query


def pipelined(target: Target, count: int, tls: bool = False) -> None:
    queries = [soa(target, 1_000 + n) for n in range(count)]
    seen = {reply.id for reply in target.tcp(*queries, tls=tls)}
    expect(seen == {query.id for query in queries}, f"{len(seen)} of {count}")


@case(7766, "5")
def tcp_answers(target: Target) -> None:
    """A question by TCP is answered."""
    pipelined(target, 1)


@case(7766, "6.2.1.1")
def tcp_pipelined(target: Target) -> None:
    """Several questions in one write are all answered."""
    pipelined(target, 3)


@case(7766, "6.2.1.1")
def tcp_pipelined_many(target: Target) -> None:
    """As are a hundred."""
    pipelined(target, 100)


@case(7766, "6.2.1")
def tcp_reused(target: Target) -> None:
    """A connection serves one question after the other."""
    with target.connection() as connection:
        for number in (1, 2, 3):
            connection.send(soa(target, number).to_wire())
            expect(target.read(connection.receive()).id == number, "another id")


@case(7766, "8")
def tcp_byte_by_byte(target: Target) -> None:
    """A question that comes a byte at a time is one question."""
    wire = soa(target, 7).to_wire()
    with target.connection() as connection:
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for byte in len(wire).to_bytes(2, "big") + wire:
            connection.sock.sendall(bytes([byte]))
        expect(target.read(connection.receive()).id == 7, "another id")


@case(7766, "8")
def tcp_one_write(target: Target) -> None:
    """The answer's length and the answer fit together."""
    with target.connection() as connection:
        connection.send(soa(target, 8).to_wire())
        wire = connection.receive()
        expect(target.read(wire).answer, "no answer within its length")


@case(1035, "4.2.2")
def tcp_not_cut(target: Target) -> None:
    """By TCP nothing is cut."""
    for name, kind in ((target.zone, "NS"), (target.zone, "SOA"), (target.zone, "ANY")):
        (reply,) = target.tcp(target.query(name, kind, use_edns=0, payload=512))
        expect(not reply.flags & dns.flags.TC, f"{kind} is cut")


@case(7766, "6.2.3")
def tcp_goes_on_after_an_error(target: Target) -> None:
    """A broken message does not end the connection for good ones behind it."""
    with target.connection() as connection:
        broken = soa(target, 9).to_wire()[:-2]
        connection.send(broken, soa(target, 10).to_wire())
        first, second = connection.receive(), connection.receive()
        codes = {int.from_bytes(one[:2], "big"): one[3] & 0x0F for one in (first, second)}
        expect(codes == {9: dns.rcode.FORMERR, 10: dns.rcode.NOERROR}, str(codes))


@case(7766, "8")
def tcp_empty_message(target: Target) -> None:
    """A message of no length harms nobody: the connection goes on, or is closed."""
    with target.connection() as connection:
        connection.send(b"", soa(target, 11).to_wire())
        try:
            expect(target.read(connection.receive()).id == 11, "another id")
        except Exception:
            expect(target.tcp(soa(target, 12))[0].id == 12, "no new connection is served")


@case(7766, "6.2.4")
def tcp_half_closed(target: Target) -> None:
    """Who has said all and closes its side is answered yet."""
    with target.connection() as connection:
        connection.send(target.query(target.routed, "A").to_wire())
        connection.sock.shutdown(socket.SHUT_WR)
        expect(target.read(connection.receive()).rcode() == dns.rcode.NOERROR, "an error")


@case(7766, "6.2.4")
def tcp_cut_short(target: Target) -> None:
    """A connection that ends within a message harms nobody."""
    with target.connection() as connection:
        connection.sock.sendall(b"\x00\x40half of it")
    pipelined(target, 1)


@case(7766, "6.2.2")
def tcp_beside(target: Target) -> None:
    """One connection that says nothing keeps none of the others."""
    with target.connection(), target.connection() as second:
        second.send(soa(target, 13).to_wire())
        expect(target.read(second.receive()).id == 13, "another id")


@case(7766, "8")
def tcp_aborted(target: Target) -> None:
    """A connection that is reset with questions open harms nobody."""
    with target.connection() as connection:
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.send(*(target.query(target.routed, "A").to_wire() for _ in range(10)))
    pipelined(target, 1)


@case(1035, "4.2.1")
def udp_and_tcp_at_one_port(target: Target) -> None:
    """Both are served at the same port."""
    expect(target.answer(soa(target)).answer, "none by UDP")
    expect(target.tcp(soa(target))[0].answer, "none by TCP")


# TLS.


@case(7858, "3.1")
def tls_answers(target: Target) -> None:
    """A question by TLS is answered."""
    pipelined(target, 1, tls=True)


@case(7858, "3.3")
def tls_pipelined(target: Target) -> None:
    """Several in one write, too."""
    pipelined(target, 20, tls=True)


@case(8310, "9")
def tls_version(target: Target) -> None:
    """It speaks TLS 1.2 at the least."""
    with target.connection(tls=True) as connection:
        assert isinstance(connection.sock, ssl.SSLSocket)
        expect(connection.sock.version() in ("TLSv1.2", "TLSv1.3"), str(connection.sock.version()))


@case(7858, "3.1")
def tls_alpn(target: Target) -> None:
    """Of the protocols offered it takes its own (dot)."""
    with target.connection(tls=True) as connection:
        assert isinstance(connection.sock, ssl.SSLSocket)
        chosen = connection.sock.selected_alpn_protocol()
        expect(chosen in ("dot", None), str(chosen))


@case(8467, "4.1")
def tls_padded(target: Target) -> None:
    """Who pads hears padded answers, of a multiple of 468 bytes."""
    query = target.query(target.zone, "SOA", use_edns=0, options=[generic(PADDING, bytes(32))])
    with target.connection(tls=True) as connection:
        connection.send(query.to_wire())
        wire = connection.receive()
    expect(len(wire) % 468 == 0, f"{len(wire)} bytes")


@case(7830, "4")
def tls_not_padded_unasked(target: Target) -> None:
    """Who does not pad hears no padding."""
    (reply,) = target.tcp(target.query(target.zone, "SOA", use_edns=0), tls=True)
    expect(option(reply, PADDING) is None, "padding")

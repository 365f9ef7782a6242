"""The server under test, and the ways to ask it: by UDP, TCP and TLS, whole messages or raw bytes."""

from __future__ import annotations

import socket
import ssl
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
import dns.rrset

from ...config.platform import Address

ANSWER_MOST = 65_535


class Failed(Exception):
    """What was seen, where the RFC wants something else."""


class Skipped(Exception):
    """The server does not offer what the case is about, and need not."""


def expect(true: object, seen: str) -> None:
    if not true:
        raise Failed(seen)


@dataclass(slots=True)
class Target:
    """`class_name` and `object_name` make a name that the server routes."""

    address: Address
    zone: dns.name.Name
    class_name: str
    object_name: str = "a1"
    tls_address: Address | None = None
    timeout_s: float = 2.0

    def below(self, text: str) -> dns.name.Name:
        return dns.name.from_text(text, self.zone)

    @property
    def routed(self) -> dns.name.Name:
        return self.below(f"0.{self.object_name}.{self.class_name}")

    @property
    def service(self) -> dns.name.Name:
        """Where its SRV is."""
        return dns.name.Name((b"_http", b"_tcp", *self.routed.labels))

    # Questions.

    def query(self, name: dns.name.Name, kind: str = "A", **more: Any) -> dns.message.Message:
        query = dns.message.make_query(name, kind, **more)
        query.flags &= ~dns.flags.RD
        return query

    def ask(self, name: dns.name.Name, kind: str = "A", **more: Any) -> dns.message.Message:
        """By UDP; the answer must be one to this question."""
        return self.answer(self.query(name, kind, **more))

    def answer(self, query: dns.message.Message) -> dns.message.Message:
        reply = self.read(self.udp(query.to_wire()))
        expect(reply.id == query.id, f"the id {reply.id} for {query.id}")
        return reply

    def rcode(self, wire: bytes) -> int:
        """The header's part of the code that raw bytes are answered by."""
        return self.udp(wire)[3] & 0x0F

    @staticmethod
    def read(wire: bytes) -> dns.message.Message:
        try:
            return dns.message.from_wire(wire)
        except dns.exception.DNSException as error:
            raise Failed(f"an answer that can't be read: {type(error).__name__}") from error

    # Ways.

    def udp(self, wire: bytes) -> bytes:
        answers = self.udp_many([wire], 1)
        if not answers:
            raise Failed("no answer")
        return answers[0]

    def udp_many(self, wires: Iterable[bytes], most: int) -> list[bytes]:
        """Several datagrams from one socket, and the first answers to them."""
        family = socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET
        with socket.socket(family, socket.SOCK_DGRAM) as sender:
            sender.settimeout(self.timeout_s)
            sender.connect(self.address)
            for wire in wires:
                sender.send(wire)
            found: list[bytes] = []
            try:
                while len(found) < most:
                    found.append(sender.recv(ANSWER_MOST))
            except (TimeoutError, ConnectionError):
                pass
            return found

    def unanswered(self, wire: bytes) -> bool:
        """Whether nothing comes back. No wait: a good question behind it is answered first, or it is not."""
        good = self.query(self.zone, "SOA")
        answers = self.udp_many([wire, good.to_wire()], 1)
        return bool(answers) and answers[0][:2] == good.to_wire()[:2] and answers[0][:2] != wire[:2]

    @contextmanager
    def connection(self, tls: bool = False) -> Iterator[Connection]:
        address = self.tls_address if tls else self.address
        if address is None:
            raise Skipped("no address for TLS was given")
        try:
            with socket.create_connection(address, self.timeout_s) as plain:
                if not tls:
                    yield Connection(plain)
                    return
                context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
                context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
                context.set_alpn_protocols(["dot"])
                with context.wrap_socket(plain) as secure:
                    yield Connection(secure)
        except OSError as error:
            raise Failed(f"the connection: {error}") from error

    def tcp(self, *queries: dns.message.Message, tls: bool = False) -> list[dns.message.Message]:
        """All of them in one write on one connection, and as many answers."""
        with self.connection(tls) as connection:
            connection.send(*(query.to_wire() for query in queries))
            return [self.read(connection.receive()) for _ in queries]


class Connection:
    def __init__(self, sock: socket.socket | ssl.SSLSocket) -> None:
        self.sock = sock

    def send(self, *wires: bytes) -> None:
        self.sock.sendall(b"".join(len(wire).to_bytes(2, "big") + wire for wire in wires))

    def receive(self) -> bytes:
        return self._exactly(int.from_bytes(self._exactly(2), "big"))

    def closed(self) -> bool:
        """Whether the other side ends it within the time."""
        try:
            return not self.sock.recv(1)
        except TimeoutError:
            return False
        except ConnectionError:
            return True

    def _exactly(self, count: int) -> bytes:
        data = b""
        while len(data) < count:
            try:
                more = self.sock.recv(count - len(data))
            except TimeoutError as error:
                raise Failed("no answer on the connection") from error
            if not more:
                raise Failed("the connection was closed before the answer")
            data += more
        return data


def section_types(rrsets: Iterable[dns.rrset.RRset]) -> set[str]:
    return {dns.rdatatype.to_text(rrset.rdtype) for rrset in rrsets}

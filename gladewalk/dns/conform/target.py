"""The server under test, and how to query it: by UDP, TCP and TLS, with messages or raw bytes."""

from __future__ import annotations

import socket
import ssl
from collections.abc import Iterable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from typing import Any

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode

from ...config.platform import Address
from .checks import CheckFailedError, CheckSkippedError, expect

MAX_MESSAGE_BYTES = 65_535
MAX_PLAIN_UDP_BYTES = 512  # largest response without EDNS (RFC 1035, section 4.2.1)
HEADER_BYTES = 12
LENGTH_BYTES = 2  # before each message on a stream
RCODE_MASK = 0x0F  # of the header's fourth byte


@dataclass(slots=True)
class Target:
    """A server under test.

    Attributes:
        address: Its address for UDP and TCP.
        zone: A zone that it serves.
        class_name: A request class that the zone has names of.
        object_name: Key of an object of that class, in hexadecimal.
        tls_address: Its address for DNS over TLS; None: the cases for TLS are skipped.
        timeout_s: How long to wait for a response.
    """

    address: Address
    zone: dns.name.Name
    class_name: str
    object_name: str = "a1"
    tls_address: Address | None = None
    timeout_s: float = 2.0

    def below(self, text: str) -> dns.name.Name:
        """Returns a name relative to the zone."""
        return dns.name.from_text(text, self.zone)

    @property
    def routed_name(self) -> dns.name.Name:
        """A name that the server routes."""
        return self.below(f"0.{self.object_name}.{self.class_name}")

    @property
    def service_name(self) -> dns.name.Name:
        """The name that has the SRV records of `routed_name`."""
        return dns.name.Name((b"_http", b"_tcp", *self.routed_name.labels))

    # Queries.

    def build_query(self, name: dns.name.Name, rdtype: str = "A", **options: Any) -> dns.message.Message:
        """Builds a query without RD; `options` are those of `dns.message.make_query`."""
        query = dns.message.make_query(name, rdtype, **options)
        query.flags &= ~dns.flags.RD
        return query

    def lookup(self, name: dns.name.Name, rdtype: str = "A", **options: Any) -> dns.message.Message:
        """Builds a query, sends it by UDP, and returns the response.

        Raises:
            CheckFailedError: There is no response, or it is malformed or has another id.
        """
        return self.send_query(self.build_query(name, rdtype, **options))

    def send_query(self, query: dns.message.Message) -> dns.message.Message:
        """Sends a query by UDP, and returns the response.

        Raises:
            CheckFailedError: There is no response, or it is malformed or has another id.
        """
        response = self.parse_response(self.exchange_udp(query.to_wire()))
        expect(response.id == query.id, f"the id {response.id} for {query.id}")
        return response

    def rcode(self, wire: bytes) -> int:
        """Sends raw bytes by UDP, and returns the lower 4 bits of the response code: those in the header."""
        return self.exchange_udp(wire)[3] & RCODE_MASK

    @staticmethod
    def parse_response(wire: bytes) -> dns.message.Message:
        """Parses a response.

        Raises:
            CheckFailedError: It is malformed.
        """
        try:
            return dns.message.from_wire(wire)
        except dns.exception.DNSException as error:
            raise CheckFailedError(f"an answer that can't be read: {type(error).__name__}") from error

    # Transports.

    def exchange_udp(self, wire: bytes) -> bytes:
        """Sends raw bytes by UDP, and returns the bytes of the response.

        Raises:
            CheckFailedError: There is no response.
        """
        responses = self.exchange_datagrams([wire], 1)
        if not responses:
            raise CheckFailedError("no answer")
        return responses[0]

    def exchange_datagrams(self, wires: Iterable[bytes], max_responses: int) -> list[bytes]:
        """Sends datagrams from one socket, and returns the first `max_responses` responses, or fewer."""
        family = socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET
        with socket.socket(family, socket.SOCK_DGRAM) as client:
            client.settimeout(self.timeout_s)
            client.connect(self.address)
            for wire in wires:
                client.send(wire)
            responses: list[bytes] = []
            with suppress(TimeoutError, ConnectionError):
                while len(responses) < max_responses:
                    responses.append(client.recv(MAX_MESSAGE_BYTES))
            return responses

    def is_unanswered(self, wire: bytes) -> bool:
        """Whether a datagram gets no response: the response to a valid query sent after it arrives first."""
        valid = self.build_query(self.zone, "SOA").to_wire()
        responses = self.exchange_datagrams([wire, valid], 1)
        return bool(responses) and responses[0][:2] == valid[:2] and responses[0][:2] != wire[:2]

    @contextmanager
    def connection(self, tls: bool = False) -> Iterator[Connection]:
        """Opens a connection by TCP or TLS.

        Raises:
            CheckSkippedError: TLS is requested, and there is no address for it.
            CheckFailedError: The connection fails.
        """
        address = self.tls_address if tls else self.address
        if address is None:
            raise CheckSkippedError("no address for TLS was given")
        try:
            with socket.create_connection(address, self.timeout_s) as plain:
                if not tls:
                    yield Connection(plain)
                    return
                with _unverified_tls_context().wrap_socket(plain) as secure:
                    yield Connection(secure)
        except OSError as error:
            raise CheckFailedError(f"the connection: {error}") from error

    def exchange_tcp(self, *queries: dns.message.Message, tls: bool = False) -> list[dns.message.Message]:
        """Sends queries in one write on one connection, and returns as many responses.

        Raises:
            CheckFailedError: A response is missing or malformed.
        """
        with self.connection(tls) as connection:
            connection.send(*(query.to_wire() for query in queries))
            return [self.parse_response(connection.receive()) for _ in queries]


class Connection:
    """A connection to the server under test by TCP or TLS."""

    def __init__(self, sock: socket.socket | ssl.SSLSocket) -> None:
        self.sock = sock

    def send(self, *wires: bytes) -> None:
        """Sends messages in one write, each after its length."""
        self.sock.sendall(b"".join(len(wire).to_bytes(LENGTH_BYTES, "big") + wire for wire in wires))

    def receive(self) -> bytes:
        """Returns the next message.

        Raises:
            CheckFailedError: The connection is closed or times out before it.
        """
        return self._receive_exactly(int.from_bytes(self._receive_exactly(LENGTH_BYTES), "big"))

    def _receive_exactly(self, count: int) -> bytes:
        data = b""
        while len(data) < count:
            try:
                chunk = self.sock.recv(count - len(data))
            except TimeoutError as error:
                raise CheckFailedError("no answer on the connection") from error
            if not chunk:
                raise CheckFailedError("the connection was closed before the answer")
            data += chunk
        return data


def _unverified_tls_context() -> ssl.SSLContext:
    """Makes a context that accepts any certificate, since only the protocol is tested."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
    context.set_alpn_protocols(["dot"])
    return context

"""A parsed DNS query, and the interfaces between the listeners and the query processor."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import dns.edns
import dns.message
import dns.name
import dns.rdatatype

from .cookies import CookieStatus
from .edns import EdnsRequest

HEADER_BYTES = 12  # RFC 1035, section 4.1.1
MAX_MESSAGE_BYTES = 65_535


class TransportKind(Enum):
    """The transport over which a query was received."""

    UDP = "udp"
    TCP = "tcp"
    TLS = "tls"


class QuerySender(Protocol):
    """The client and transport of one query; `send` or `drop` is called once to finish it."""

    @property
    def client_address(self) -> str:
        """The client's IP address."""

    @property
    def transport(self) -> TransportKind:
        """The transport over which the query was received."""

    def send(self, wire: bytes) -> None:
        """Sends the response."""

    def drop(self) -> None:
        """Ends the query without a response."""


class QueryHandler(Protocol):
    """Processes the queries that listeners receive."""

    def handle_query(self, wire: bytes, sender: QuerySender) -> None:
        """Responds through the sender, at once or later; raises no exception, whatever the bytes are."""


@dataclass(slots=True)
class Query:
    """A parsed query, and the state that its response depends on.

    Attributes:
        message: The query as parsed.
        edns: The requests in its EDNS options.
        sender: Its client and transport, through which the response is sent.
        size_bytes: Size of the query message.
        cookie_status: Result of verifying its cookie.
        trusted_subnet: Its client subnet if the resolver is trusted to send one; otherwise None.
        extended_error: An extended error code (RFC 8914) for the response.
    """

    message: dns.message.Message
    edns: EdnsRequest
    sender: QuerySender
    size_bytes: int
    cookie_status: CookieStatus = CookieStatus.ABSENT
    trusted_subnet: dns.edns.ECSOption | None = None
    extended_error: dns.edns.EDECode | None = None

    @property
    def name(self) -> dns.name.Name:
        """The name in the first question."""
        return self.message.question[0].name

    @property
    def rdtype(self) -> dns.rdatatype.RdataType:
        """The type in the first question."""
        return self.message.question[0].rdtype

    @property
    def client_address(self) -> str:
        """The client's IP address."""
        return self.sender.client_address

    @property
    def transport(self) -> TransportKind:
        """The transport over which the query was received."""
        return self.sender.transport

    @property
    def has_edns(self) -> bool:
        """The query carries an OPT record."""
        return self.message.edns >= 0

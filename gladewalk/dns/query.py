"""A DNS query on its way through the front, and the interface by which listeners hand queries on."""

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
    """How a query came."""

    UDP = "udp"
    TCP = "tcp"
    TLS = "tls"


class QuerySender(Protocol):
    """The way that one query came and its response goes; either method is called once."""

    @property
    def client_address(self) -> str:
        """The client's IP address."""

    @property
    def transport(self) -> TransportKind:
        """How the query came."""

    def send(self, wire: bytes) -> None:
        """Sends the response."""

    def drop(self) -> None:
        """Ends the query without a response."""


class QueryHandler(Protocol):
    """What listeners hand queries to."""

    def handle_query(self, wire: bytes, sender: QuerySender) -> None:
        """Answers a query through its sender, at once or later; raises nothing, whatever the bytes are."""


@dataclass(slots=True)
class Query:
    """A query that was parsed, and what its response needs.

    Attributes:
        message: The query as parsed.
        edns: What it asks for by EDNS.
        sender: The way back.
        size_bytes: Of the query.
        cookie_status: What its cookie shows.
        trusted_subnet: Its client subnet if the resolver may send one.
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
        """How the query came."""
        return self.sender.transport

    @property
    def has_edns(self) -> bool:
        """The query carries an OPT record."""
        return self.message.edns >= 0

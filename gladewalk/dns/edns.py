"""EDNS (RFC 6891): reads a query's options, and builds those of its response. No I/O.

    cookie 10 (RFC 7873)   NSID 3 (RFC 5001)   client subnet 8 (RFC 7871)   keep-alive 11 (RFC 7828)
    padding 12 (RFC 7830)  extended error 15 (RFC 8914)

Other options are ignored, as RFC 6891, section 6.1.2 requires.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable
from dataclasses import dataclass

import dns.edns
import dns.flags
import dns.message

from ..errors import GladewalkError
from .settings import Network

TCP_KEEPALIVE, PADDING = dns.edns.OptionType.KEEPALIVE, dns.edns.OptionType.PADDING
PADDING_BLOCK_BYTES = 468  # of a response over TLS (RFC 8467, section 4.1)
MIN_SERVER_COOKIE_BYTES, MAX_SERVER_COOKIE_BYTES = 8, 32  # RFC 7873, section 4
KEEPALIVE_UNIT_MS = 100.0
MAX_KEEPALIVE_UNITS = 65_535


class MalformedOptionError(GladewalkError):
    """An option whose RFC requires FORMERR."""


@dataclass(slots=True, frozen=True)
class EdnsRequest:
    """The requests in a query's EDNS options; all false or empty without EDNS.

    Attributes:
        has_do: The DO bit is set (RFC 3225).
        wants_nsid: Requests the name server identifier.
        client_subnet: Network of the resolver's client.
        client_cookie: The client's half of a cookie.
        server_cookie: The server's half of the cookie.
        wants_keepalive: Requests the idle timeout of connections.
        wants_padding: Requests a padded response.
    """

    has_do: bool = False
    wants_nsid: bool = False
    client_subnet: dns.edns.ECSOption | None = None
    client_cookie: bytes = b""
    server_cookie: bytes = b""
    wants_keepalive: bool = False
    wants_padding: bool = False


def read_edns(query: dns.message.Message) -> EdnsRequest:
    """Reads the options of a query.

    Raises:
        MalformedOptionError: An option is malformed, so that the response must be FORMERR.
    """
    if query.edns < 0:
        return EdnsRequest()
    first: dict[int, dns.edns.Option] = {}
    for option in query.options:
        # RFC 7873, section 5.2: only the first of several cookies is used.
        first.setdefault(int(option.otype), option)
    client_cookie, server_cookie = _read_cookie(first.get(dns.edns.OptionType.COOKIE))
    return EdnsRequest(
        has_do=bool(query.ednsflags & dns.flags.DO),
        wants_nsid=dns.edns.OptionType.NSID in first,
        client_subnet=_read_client_subnet(first.get(dns.edns.OptionType.ECS)),
        client_cookie=client_cookie,
        server_cookie=server_cookie,
        wants_keepalive=TCP_KEEPALIVE in first,
        wants_padding=PADDING in first,
    )


def _read_client_subnet(option: dns.edns.Option | None) -> dns.edns.ECSOption | None:
    if not isinstance(option, dns.edns.ECSOption):
        return None
    if option.scopelen:
        raise MalformedOptionError("a query's scope is 0 (RFC 7871, section 6)")
    return option


def _read_cookie(option: dns.edns.Option | None) -> tuple[bytes, bytes]:
    if not isinstance(option, dns.edns.CookieOption):
        return b"", b""
    if option.server and not MIN_SERVER_COOKIE_BYTES <= len(option.server) <= MAX_SERVER_COOKIE_BYTES:
        raise MalformedOptionError("a server cookie has 8 to 32 bytes (RFC 7873, section 4)")
    return option.client, option.server


def trusted_subnet(
    edns: EdnsRequest, client_address: str, trusted: Iterable[Network]
) -> dns.edns.ECSOption | None:
    """Returns the client subnet of a query if its resolver is trusted to send one."""
    address = ipaddress.ip_address(client_address)
    if edns.client_subnet is None or not any(address in network for network in trusted):
        return None
    return edns.client_subnet


def subnet_response(subnet: dns.edns.ECSOption) -> dns.edns.ECSOption:
    """Returns the response's subnet (RFC 7871, section 7.2.1) with scope 0: no answer depends on it."""
    return dns.edns.ECSOption(subnet.address, subnet.srclen, 0)


def keepalive_response(idle_timeout_ms: float) -> dns.edns.Option:
    """Returns the option that announces the idle timeout of connections (RFC 7828, section 3.1)."""
    units = min(MAX_KEEPALIVE_UNITS, int(idle_timeout_ms / KEEPALIVE_UNIT_MS))
    return dns.edns.GenericOption(TCP_KEEPALIVE, units.to_bytes(2, "big"))

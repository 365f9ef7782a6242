"""What a question says beside its name: EDNS (RFC 6891) and its options; and what goes back of it. No I/O.

    cookie 10 (RFC 7873)   NSID 3 (RFC 5001)   client subnet 8 (RFC 7871)   keep-alive 11 (RFC 7828)
    padding 12 (RFC 7830)  extended error 15 (RFC 8914)

Whatever else stands there is ignored, as RFC 6891, 6.1.2 asks.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable
from dataclasses import dataclass

import dns.edns
import dns.flags
import dns.message

from .settings import Network

KEEPALIVE, PADDING = dns.edns.OptionType(11), dns.edns.OptionType(12)
PADDED_TO = 468  # bytes of an answer over TLS (RFC 8467, 4.1)


class Malformed(Exception):
    """An option that its RFC wants to be answered by FORMERR."""


@dataclass(slots=True, frozen=True)
class Edns:
    """`client` and `server`: the two parts of a cookie."""

    do: bool = False
    nsid: bool = False
    subnet: dns.edns.ECSOption | None = None
    client: bytes = b""
    server: bytes = b""
    keepalive: bool = False
    padding: bool = False


def read_edns(query: dns.message.Message) -> Edns:
    if query.edns < 0:
        return Edns()
    first: dict[int, dns.edns.Option] = {}
    for option in query.options:
        first.setdefault(int(option.otype), option)  # RFC 7873, 5.2: of several cookies the first counts
    subnet, cookie = first.get(8), first.get(10)
    if isinstance(subnet, dns.edns.ECSOption) and subnet.scopelen:
        raise Malformed("a question's scope is 0 (RFC 7871, 6)")
    client = server = b""
    if isinstance(cookie, dns.edns.CookieOption):
        client, server = cookie.client, cookie.server
        if server and not 8 <= len(server) <= 32:
            raise Malformed("a server's cookie has 8 to 32 bytes (RFC 7873, 4)")
    return Edns(
        bool(query.ednsflags & dns.flags.DO),
        3 in first,
        subnet if isinstance(subnet, dns.edns.ECSOption) else None,
        client,
        server,
        11 in first,
        12 in first,
    )


def trusted_subnet(edns: Edns, peer: str, trusted: Iterable[Network]) -> dns.edns.ECSOption | None:
    """A client's network, as far as this resolver may speak for its clients; a /0 tells nothing."""
    at = ipaddress.ip_address(peer)
    if edns.subnet is None or not any(at in network for network in trusted):
        return None
    return edns.subnet


def subnet_answer(subnet: dns.edns.ECSOption, scope: int) -> dns.edns.ECSOption:
    """RFC 7871, 7.2.1: family, source and address as asked; the scope says for whom the answer holds."""
    return dns.edns.ECSOption(subnet.address, subnet.srclen, min(scope, subnet.srclen))


def keepalive_answer(idle_ms: float) -> dns.edns.Option:
    """How long a connection may idle, in units of 100 ms."""
    return dns.edns.GenericOption(KEEPALIVE, min(65_535, int(idle_ms / 100.0)).to_bytes(2, "big"))

"""DNS cookies (RFC 7873) with the interoperable server cookie of RFC 9018: proof of a client's address.

    version 1 (1)  reserved (3)  Unix time in s (4)  SipHash-2-4 (8)

SipHash is computed over the client cookie, the fields before the hash, and the client's address. The first
key generates cookies, and all keys verify them, so that keys can be rotated. No I/O.
"""

from __future__ import annotations

import hmac
import ipaddress
from enum import Enum

from siphash24 import siphash24

VERSION = b"\x01\x00\x00\x00"
MAX_AGE_SECONDS, MAX_CLOCK_SKEW_SECONDS = 3_600, 300  # RFC 9018, section 4.3
RENEW_AFTER_SECONDS = 1_800  # age from which a client is sent a new cookie
KEY_BYTES = 16
SERVER_COOKIE_BYTES = 16
TIMESTAMP_MODULUS = 2**32


class CookieStatus(Enum):
    """The state of a query's COOKIE option."""

    ABSENT = "none"
    CLIENT_ONLY = "client"
    INVALID = (
        "bad"  # the server cookie is malformed, outdated, or not generated with these keys for this client
    )
    VALID = "good"


class ServerCookies:
    """Generates and verifies server cookies with a ring of keys.

    Raises:
        ValueError: There is no key, or a key has the wrong length.
    """

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        if not keys or any(len(key) != KEY_BYTES for key in keys):
            raise ValueError(f"cookies need keys of {KEY_BYTES} bytes")
        self.keys = keys

    def generate(self, client_cookie: bytes, address: str, now_seconds: float) -> bytes:
        """Returns the server cookie for a client cookie of 8 bytes."""
        timestamp = (int(now_seconds) % TIMESTAMP_MODULUS).to_bytes(4, "big")
        header = VERSION + timestamp
        return header + self._hash(self.keys[0], client_cookie, header, address)

    def verify(
        self, client_cookie: bytes, server_cookie: bytes, address: str, now_seconds: float
    ) -> CookieStatus:
        """Checks the two halves of a cookie that was received from an address."""
        if not client_cookie:
            return CookieStatus.ABSENT
        if not server_cookie:
            return CookieStatus.CLIENT_ONLY
        if len(server_cookie) != SERVER_COOKIE_BYTES or server_cookie[:1] != VERSION[:1]:
            return CookieStatus.INVALID
        if not -MAX_CLOCK_SKEW_SECONDS <= _age_seconds(server_cookie, now_seconds) <= MAX_AGE_SECONDS:
            return CookieStatus.INVALID
        hashes = (self._hash(key, client_cookie, server_cookie[:8], address) for key in self.keys)
        is_valid = any(hmac.compare_digest(server_cookie[8:], expected) for expected in hashes)
        return CookieStatus.VALID if is_valid else CookieStatus.INVALID

    def renew(
        self,
        client_cookie: bytes,
        server_cookie: bytes,
        status: CookieStatus,
        address: str,
        now_seconds: float,
    ) -> bytes:
        """Returns the server cookie to respond with: the received one, unless it is invalid or too old."""
        is_recent = (
            status is CookieStatus.VALID and _age_seconds(server_cookie, now_seconds) < RENEW_AFTER_SECONDS
        )
        return server_cookie if is_recent else self.generate(client_cookie, address, now_seconds)

    @staticmethod
    def _hash(key: bytes, client_cookie: bytes, header: bytes, address: str) -> bytes:
        packed = ipaddress.ip_address(address).packed
        digest: bytes = siphash24(client_cookie + header + packed, key=key).digest()
        return digest


def _age_seconds(server_cookie: bytes, now_seconds: float) -> int:
    """Returns the age by serial number arithmetic (RFC 1982); negative for a timestamp in the future."""
    elapsed = (int(now_seconds) - int.from_bytes(server_cookie[4:8], "big")) % TIMESTAMP_MODULUS
    return elapsed - TIMESTAMP_MODULUS if elapsed >= TIMESTAMP_MODULUS // 2 else elapsed

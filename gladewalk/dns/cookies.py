"""DNS cookies (RFC 7873, with the server's part as RFC 9018 has it): who shows one is where it says it is.

    version 1 (1)  reserved (3)  Unix time in s (4)  SipHash-2-4 over client's part, these and its address (8)

No I/O. The first key makes, all keys pass: so they are rotated as others are.
"""

from __future__ import annotations

import hmac
import ipaddress
from enum import Enum

from siphash24 import siphash24

VERSION = b"\x01\x00\x00\x00"
OLDEST_S, NEWEST_S = 3_600, 300  # RFC 9018, 4.3: how far a cookie's time may lie back, and ahead
RENEW_S = 1_800  # and from when on an asker is given a new one
KEY_BYTES = 16


class Shown(Enum):
    NONE = "none"  # no cookie at all
    CLIENT = "client"  # the client's part alone
    BAD = "bad"  # a server's part that we never made, or too long ago
    GOOD = "good"


class Cookies:
    """What one ring of keys makes and takes."""

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        if not keys or any(len(key) != KEY_BYTES for key in keys):
            raise ValueError(f"cookies need keys of {KEY_BYTES} bytes")
        self.keys = keys

    def make(self, client: bytes, address: str, now_s: float) -> bytes:
        """The server's part for a client's part of 8 bytes."""
        head = VERSION + (int(now_s) % 2**32).to_bytes(4, "big")
        return head + self._hash(self.keys[0], client, head, address)

    def judge(self, client: bytes, server: bytes, address: str, now_s: float) -> Shown:
        if not client:
            return Shown.NONE
        if not server:
            return Shown.CLIENT
        if len(server) != 16 or server[:1] != VERSION[:1]:
            return Shown.BAD
        if not -NEWEST_S <= self._age(server, now_s) <= OLDEST_S:
            return Shown.BAD
        made = (self._hash(key, client, server[:8], address) for key in self.keys)
        return Shown.GOOD if any(hmac.compare_digest(server[8:], one) for one in made) else Shown.BAD

    def answer(self, client: bytes, server: bytes, shown: Shown, address: str, now_s: float) -> bytes:
        """The server's part to send back: the one that was shown, unless it is bad or grows old."""
        young = shown is Shown.GOOD and self._age(server, now_s) < RENEW_S
        return server if young else self.make(client, address, now_s)

    def _age(self, server: bytes, now_s: float) -> int:
        """Serial number arithmetic (RFC 1982): the time is of 32 bits."""
        gone = (int(now_s) - int.from_bytes(server[4:8], "big")) % 2**32
        return gone - 2**32 if gone >= 2**31 else gone

    @staticmethod
    def _hash(key: bytes, client: bytes, head: bytes, address: str) -> bytes:
        digest: bytes = siphash24(client + head + ipaddress.ip_address(address).packed, key=key).digest()
        return digest

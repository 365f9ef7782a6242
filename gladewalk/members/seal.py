"""Who may speak: a key ring over every datagram, and a window against what was said before.

    version (1)  key id (4)  sent at, Unix ms (8)  nonce (8)  message  HMAC-SHA256, cut to 16 (RFC 2104, 5)

The first key of the ring seals, all of them open: so a key is rotated by adding the new one everywhere,
moving it to the front everywhere, and taking the old one out. Nothing that fails is answered.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from ..config.key_ring_file import load_hex_keys
from .messages import DATAGRAM_MOST

VERSION = 1
HEAD = struct.Struct(">B4sQQ")
TAG = 16  # bytes of the HMAC that are sent
OVERHEAD = HEAD.size + TAG
KEY_LEAST = 32  # bytes


class Refused(Enum):
    """Why a datagram was dropped; each has its counter."""

    OVERSIZED = "oversized"
    MALFORMED = "malformed"
    UNKNOWN_KEY = "unknown_key"
    FORGED = "forged"
    STALE = "stale"  # sent too long ago, or in the future: a clock that is off shows here
    REPLAYED = "replayed"


@dataclass(slots=True, frozen=True, repr=False)
class Key:
    """A key and its public id. Guards against a key in a log: it has no text form."""

    id: bytes
    secret: bytes

    def __repr__(self) -> str:
        return f"Key({self.id.hex()})"


def make_key(secret: bytes) -> Key:
    return Key(hashlib.sha256(b"gladewalk key id" + secret).digest()[:4], secret)


def load_keys(path: Path) -> tuple[Key, ...]:
    """The ring out of its file, the sealing key first."""
    return tuple(make_key(secret) for secret in load_hex_keys(path, "members.keys", KEY_LEAST))


class Seal:
    """Seals and opens datagrams; `window_ms` is how far clocks and paths may differ."""

    def __init__(self, keys: tuple[Key, ...], window_ms: float, remembered: int = 65_536) -> None:
        self.window_ms, self.remembered = window_ms, remembered
        self.rekey(keys)
        self.seen: OrderedDict[bytes, float] = OrderedDict()  # tags by when they may be forgotten

    def rekey(self, keys: tuple[Key, ...]) -> None:
        self.keys = {key.id: key.secret for key in keys}
        self.first = keys[0]

    def seal(self, message: bytes, now_ms: float, nonce: int, most: int = DATAGRAM_MOST) -> bytes:
        data = HEAD.pack(VERSION, self.first.id, int(now_ms), nonce) + message
        sealed = data + hmac.digest(self.first.secret, data, "sha256")[:TAG]
        if len(sealed) > most:
            raise ValueError(f"a message of {len(sealed)} bytes")
        return sealed

    def open(self, data: bytes, now_ms: float, most: int = DATAGRAM_MOST) -> bytes | Refused:
        """The message, or why it is dropped. A tag is remembered only once it was found to be good."""
        if len(data) > most:
            return Refused.OVERSIZED
        if len(data) < OVERHEAD or data[0] != VERSION:
            return Refused.MALFORMED
        _, key, sent_ms, _ = HEAD.unpack_from(data)
        secret = self.keys.get(key)
        if secret is None:
            return Refused.UNKNOWN_KEY
        body, tag = data[:-TAG], data[-TAG:]
        if not hmac.compare_digest(hmac.digest(secret, body, "sha256")[:TAG], tag):
            return Refused.FORGED
        if abs(now_ms - sent_ms) > self.window_ms:
            return Refused.STALE
        self._forget(now_ms)
        # With the memory full, what can't be told from a replay is taken for one: no gap must open.
        if tag in self.seen or len(self.seen) >= self.remembered:
            return Refused.REPLAYED
        self.seen[tag] = sent_ms + self.window_ms
        return body[HEAD.size :]

    def _forget(self, now_ms: float) -> None:
        while self.seen:
            tag, until = next(iter(self.seen.items()))
            if until >= now_ms:
                return
            del self.seen[tag]

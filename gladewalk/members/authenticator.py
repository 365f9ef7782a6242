"""Message authentication: HMAC-SHA256 with a key ring, a time window, and protection against replay.

    version (1)  key id (4)  sent at, Unix ms (8)  nonce (8)  message  HMAC-SHA256, truncated to 16 (RFC 2104)

The first key of the ring signs, every key verifies. A key is rotated in three steps, each on all members
before the next one: append the new key, move it to the front, remove the old key. What fails verification is
never answered.
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
from .errors import MessageTooLargeError
from .messages import MAX_DATAGRAM_BYTES

VERSION = 1
HEADER = struct.Struct(">B4sQQ")
TAG_BYTES = 16
KEY_ID_BYTES = 4
OVERHEAD_BYTES = HEADER.size + TAG_BYTES
MIN_KEY_BYTES = 32
MAX_REPLAY_TAGS = 65_536


class DropReason(Enum):
    """Why a message was dropped; the value is the last part of its counter, `members.dropped.<value>`."""

    OVERSIZED = "oversized"
    MALFORMED = "malformed"
    UNKNOWN_KEY = "unknown_key"
    FORGED = "forged"
    STALE = "stale"  # outside the time window: clocks differ, or it was delayed for too long
    REPLAYED = "replayed"


@dataclass(slots=True, frozen=True, repr=False)
class AuthenticationKey:
    """A secret and its public id. Its text form shows the id alone, so that no log can hold the secret."""

    id: bytes
    secret: bytes

    def __repr__(self) -> str:
        return f"AuthenticationKey({self.id.hex()})"


def key_from_secret(secret: bytes) -> AuthenticationKey:
    """Makes a key whose id is derived from its secret."""
    digest = hashlib.sha256(b"gladewalk key id" + secret).digest()
    return AuthenticationKey(digest[:KEY_ID_BYTES], secret)


def load_key_ring(path: Path) -> tuple[AuthenticationKey, ...]:
    """Reads a key ring, the signing key first.

    Raises `ConfigError` for a file that is no key ring or that others than its owner can read.
    """
    return tuple(key_from_secret(secret) for secret in load_hex_keys(path, "members.keys", MIN_KEY_BYTES))


class MessageAuthenticator:
    """Signs and verifies messages.

    `window_ms` bounds how far a message's time may be from the local clock, either way. Tags of accepted
    messages are remembered for as long as the window accepts them again, `max_replay_tags` at the most.
    """

    def __init__(
        self, keys: tuple[AuthenticationKey, ...], window_ms: float, max_replay_tags: int = MAX_REPLAY_TAGS
    ) -> None:
        self.window_ms, self.max_replay_tags = window_ms, max_replay_tags
        self._forget_at_ms: OrderedDict[bytes, float] = OrderedDict()  # by tag, in order of arrival
        self.replace_keys(keys)

    def replace_keys(self, keys: tuple[AuthenticationKey, ...]) -> None:
        """Replaces the key ring; the first key signs from now on."""
        self._secrets = {key.id: key.secret for key in keys}
        self.signing_key = keys[0]

    def sign(self, message: bytes, now_ms: float, nonce: int, max_bytes: int = MAX_DATAGRAM_BYTES) -> bytes:
        """Adds header and tag; raises `MessageTooLargeError` above `max_bytes`. `nonce` has 64 bits."""
        body = HEADER.pack(VERSION, self.signing_key.id, int(now_ms), nonce) + message
        signed = body + self._tag_of(self.signing_key.secret, body)
        if len(signed) > max_bytes:
            raise MessageTooLargeError(f"{len(signed)} bytes, {max_bytes} at the most")
        return signed

    def verify(self, data: bytes, now_ms: float, max_bytes: int = MAX_DATAGRAM_BYTES) -> bytes | DropReason:
        """Returns the message, or why it is to be dropped. A tag is remembered only once it was verified."""
        if len(data) > max_bytes:
            return DropReason.OVERSIZED
        if len(data) < OVERHEAD_BYTES or data[0] != VERSION:
            return DropReason.MALFORMED
        _, key_id, sent_ms, _ = HEADER.unpack_from(data)
        secret = self._secrets.get(key_id)
        if secret is None:
            return DropReason.UNKNOWN_KEY
        body, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
        if not hmac.compare_digest(self._tag_of(secret, body), tag):
            return DropReason.FORGED
        if abs(now_ms - sent_ms) > self.window_ms:
            return DropReason.STALE
        self._forget_expired_tags(now_ms)
        # With the memory full, replays can't be recognized any more: then every message counts as one.
        if tag in self._forget_at_ms or len(self._forget_at_ms) >= self.max_replay_tags:
            return DropReason.REPLAYED
        self._forget_at_ms[tag] = sent_ms + self.window_ms
        return body[HEADER.size :]

    @staticmethod
    def _tag_of(secret: bytes, body: bytes) -> bytes:
        return hmac.digest(secret, body, "sha256")[:TAG_BYTES]

    def _forget_expired_tags(self, now_ms: float) -> None:
        while self._forget_at_ms:
            tag, forget_at_ms = next(iter(self._forget_at_ms.items()))
            if forget_at_ms >= now_ms:
                return
            del self._forget_at_ms[tag]

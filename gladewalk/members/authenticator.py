"""Message authentication: HMAC-SHA256 with a key ring, a time window, and protection against replay.

    version (1)  key id (4)  sent at, Unix ms (8)  nonce (8)  message  HMAC-SHA256, truncated to 16 (RFC 2104)

Messages are signed with the first key of the ring and verified with any of them. A key is rotated in three
steps, each on all members before the next one: append the new key, move it to the front, remove the old key.
A message that fails verification gets no response.
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
    STALE = "stale"  # sent outside the time window: the clocks differ, or the message was delayed too long
    REPLAYED = "replayed"


@dataclass(slots=True, frozen=True, repr=False)
class AuthenticationKey:
    """A secret and its public id. `repr` shows only the id, so that logs never contain the secret."""

    id: bytes
    secret: bytes

    def __repr__(self) -> str:
        return f"AuthenticationKey({self.id.hex()})"


def key_from_secret(secret: bytes) -> AuthenticationKey:
    """Makes a key whose id is derived from its secret."""
    digest = hashlib.sha256(b"gladewalk key id" + secret).digest()
    return AuthenticationKey(digest[:KEY_ID_BYTES], secret)


def load_key_ring(path: Path) -> tuple[AuthenticationKey, ...]:
    """Reads a key ring from a file; the first key is the signing key.

    Raises `ConfigError` if the file is not a valid key ring or is readable by other users than its owner.
    """
    return tuple(key_from_secret(secret) for secret in load_hex_keys(path, "members.keys", MIN_KEY_BYTES))


class MessageAuthenticator:
    """Signs and verifies messages.

    `window_ms` is the largest accepted difference between a message's time and the local clock, in either
    direction. Tags of accepted messages are kept until the window excludes the messages, at most
    `max_replay_tags` at a time.
    """

    def __init__(
        self, keys: tuple[AuthenticationKey, ...], window_ms: float, max_replay_tags: int = MAX_REPLAY_TAGS
    ) -> None:
        self.window_ms, self.max_replay_tags = window_ms, max_replay_tags
        # When each tag may be forgotten, in the order in which the messages were received.
        self._expires_at_ms_by_tag: OrderedDict[bytes, float] = OrderedDict()
        self.replace_keys(keys)

    def replace_keys(self, keys: tuple[AuthenticationKey, ...]) -> None:
        """Replaces the key ring; from now on messages are signed with its first key."""
        self._secrets = {key.id: key.secret for key in keys}
        self.signing_key = keys[0]

    def sign(self, message: bytes, now_ms: float, nonce: int, max_bytes: int = MAX_DATAGRAM_BYTES) -> bytes:
        """Adds header and tag. `nonce` has 64 bits.

        Raises `MessageTooLargeError` if the signed message is larger than `max_bytes`.
        """
        body = HEADER.pack(VERSION, self.signing_key.id, int(now_ms), nonce) + message
        signed = body + self._tag_of(self.signing_key.secret, body)
        if len(signed) > max_bytes:
            raise MessageTooLargeError(f"{len(signed)} bytes with header and tag, {max_bytes} are allowed")
        return signed

    def verify(self, data: bytes, now_ms: float, max_bytes: int = MAX_DATAGRAM_BYTES) -> bytes | DropReason:
        """Returns the message, or the reason to drop it. Only tags of verified messages are remembered."""
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
        # Without room for another tag, a replay of this message could not be detected later: reject it.
        if tag in self._expires_at_ms_by_tag or len(self._expires_at_ms_by_tag) >= self.max_replay_tags:
            return DropReason.REPLAYED
        self._expires_at_ms_by_tag[tag] = sent_ms + self.window_ms
        return body[HEADER.size :]

    @staticmethod
    def _tag_of(secret: bytes, body: bytes) -> bytes:
        return hmac.digest(secret, body, "sha256")[:TAG_BYTES]

    def _forget_expired_tags(self, now_ms: float) -> None:
        while self._expires_at_ms_by_tag:
            tag, expires_at_ms = next(iter(self._expires_at_ms_by_tag.items()))
            if expires_at_ms >= now_ms:
                return
            del self._expires_at_ms_by_tag[tag]

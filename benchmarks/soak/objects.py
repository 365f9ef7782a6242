"""The objects of the soak: their bytes tell object, part and version, so that any answer can be judged."""

from __future__ import annotations

import hashlib

SMALL_BYTES, LARGE_BYTES = 24_000, 240_000
LARGE_EVERY = 23  # one object of so many has the largest size
MIN_BYTES = 64


def object_bytes(object_id: str, version: int) -> bytes:
    """Returns the bytes of a version of an object's part; the version is readable at their head."""
    digest = hashlib.sha256(object_id.encode()).digest()
    number = int.from_bytes(digest[:4], "big")
    size = LARGE_BYTES if number % LARGE_EVERY == 0 else MIN_BYTES + number % SMALL_BYTES
    head = f"{object_id} v{version};".encode()
    filler = hashlib.sha256(head).digest()
    return (head + filler * (size // len(filler) + 1))[:size]


def version_of(object_id: str, body: bytes) -> int | None:
    """Returns the version that a body is, byte for byte; None if it is none of this object's."""
    head, separator, _ = body.partition(b";")
    name, _, version = head.decode("latin-1").rpartition(" v")
    if not separator or name != object_id or not version.isdigit():
        return None
    return int(version) if object_bytes(object_id, int(version)) == body else None


def write_answer(trace_id: str) -> bytes:
    """Returns the answer to a write, which tells whose it is."""
    return f"done {trace_id}".encode()


def owner_of(body: bytes) -> str:
    """Returns whose answer a body is, as far as its head tells, with its length."""
    head, separator, _ = body.partition(b";")
    owner = head.decode("latin-1") if separator else repr(body[:MIN_BYTES])
    return f"{owner}'s, {len(body)} bytes"

"""The objects of the soak: their bytes identify object, part and version, so responses can be checked."""

from __future__ import annotations

import hashlib

SMALL_BYTES, LARGE_BYTES = 24_000, 240_000
LARGE_OBJECT_INTERVAL = 23  # one object in 23 has the largest size
MIN_BYTES = 64


def object_bytes(object_id: str, version: int) -> bytes:
    """Returns the bytes of a version of an object's part; they begin with the object's id and the version."""
    digest = hashlib.sha256(object_id.encode()).digest()
    number = int.from_bytes(digest[:4], "big")
    size = LARGE_BYTES if number % LARGE_OBJECT_INTERVAL == 0 else MIN_BYTES + number % SMALL_BYTES
    head = f"{object_id} v{version};".encode()
    filler = hashlib.sha256(head).digest()
    return (head + filler * (size // len(filler) + 1))[:size]


def version_of(object_id: str, body: bytes) -> int | None:
    """Returns the version whose bytes a body has; None if it is no version of this object."""
    head, separator, _ = body.partition(b";")
    name, _, version = head.decode("latin-1").rpartition(" v")
    if not separator or name != object_id or not version.isdigit():
        return None
    return int(version) if object_bytes(object_id, int(version)) == body else None


def response_to_write(trace_id: str) -> bytes:
    """Returns the response body of a write, which contains the id of its request."""
    return f"done {trace_id}".encode()


def owner_of(body: bytes) -> str:
    """Returns the object or request that a body belongs to by its first bytes, and the body's length."""
    head, separator, _ = body.partition(b";")
    owner = head.decode("latin-1") if separator else repr(body[:MIN_BYTES])
    return f"{owner}'s, {len(body)} bytes"

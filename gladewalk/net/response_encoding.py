"""Encodes the heads of HTTP/1.1 responses to clients of the platform's protocol."""

from __future__ import annotations

import math

from ..core.exchange import ResponseHead
from .requests import REASONS

LAST_CHUNK = b"0\r\n\r\n"  # the end of a body in the chunked transfer coding
RETRY_AT_ONCE = ["Retry-After: 1"]  # the shortest time that HTTP knows, without 'at once'


def encode_chunk(data: bytes) -> bytes:
    """Returns a non-empty piece of a body as a chunk (RFC 9112, section 7.1)."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def response_lines(head: ResponseHead, body_bytes: int) -> list[str]:
    """Returns the status line and the fields of a server's complete response."""
    if head.is_not_modified:
        lines = ["HTTP/1.1 304 Not Modified"]
    elif head.content_length is None:
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
    else:
        lines = ["HTTP/1.1 200 OK", f"Content-Length: {body_bytes}"]
    if head.etag is not None:
        lines.append(f'ETag: "{head.etag}"')
    return lines


def response_body(head: ResponseHead, body: bytes) -> bytes:
    """Returns the body of a server's complete response in its transfer coding."""
    if head.content_length is not None or head.is_not_modified:
        return body
    return (encode_chunk(body) if body else b"") + LAST_CHUNK


def status_lines(status: int, fields: list[str] | None = None) -> list[str]:
    """Returns the status line and the fields of a response without a body."""
    reason = b"OK" if status == 200 else REASONS[status]
    return [f"HTTP/1.1 {status} {reason.decode()}", "Content-Length: 0", *(fields or ())]


def rejection_fields(retry_after_ms: float, *, has_hold_off: bool) -> list[str]:
    """Returns the fields of a 503: `Retry-After` (RFC 9110, section 10.2.3) in seconds, at least one.

    Args:
        retry_after_ms: How long the client should wait; 0: no advice.
        has_hold_off: Whether the wait is given in milliseconds as well.
    """
    fields = [f"Retry-After: {max(1, math.ceil(retry_after_ms / 1000.0))}"]
    if retry_after_ms and has_hold_off:
        fields.append(f"Hold-Off-Ms: {round(retry_after_ms)}")
    return fields

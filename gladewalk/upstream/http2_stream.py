"""One request and its response on an HTTP/2 connection, and the attempt status that its end results in."""

from __future__ import annotations

from typing import Any, Protocol

from h2.errors import ErrorCodes
from hpack import NeverIndexedHeaderTuple

from .. import interface as api
from ..core.exchange import Attempt, ResponseHead
from ..core.response_buffer import MAX_OBJECT_BYTES
from ..streams.stream_tracker import EndReason, StreamOutcome
from .protocol_fields import (
    AUTHORITY,
    InvalidResponseError,
    read_content_length,
    request_fields,
    request_path,
)
from .work_items import WorkItem

# Fields that differ with each request: in HPACK's dynamic table (RFC 7541, section 7.1.3), they would evict
# the fields that repeat.
UNINDEXED_FIELDS = frozenset(("X-Ticket", "X-Max-Ms", "X-Nonce", "No-Older-Than", "Have", "Content-Length"))
STATUS_BY_REASON = {  # the status of an attempt whose request may have been processed
    EndReason.RESET: api.Status.RESET,
    EndReason.CONNECTION_LOST: api.Status.RESET,
    EndReason.KEEP_ALIVE_TIMEOUT: api.Status.RESET,
    EndReason.PROTOCOL_ERROR: api.Status.ERROR,
    EndReason.CANCELLED: api.Status.CANCELLED,
}


def attempt_status(outcome: StreamOutcome) -> api.Status:
    """Returns the status of an attempt without a response; an unprocessed request may be sent again."""
    if outcome.reason is EndReason.REFUSED:
        return api.Status.REJECTED  # the server is up and at its capacity
    if outcome.is_unprocessed:
        return api.Status.NOT_SENT
    if outcome.reason is EndReason.RESET and outcome.code == ErrorCodes.INTERNAL_ERROR:
        return api.Status.ERROR
    return STATUS_BY_REASON[outcome.reason]


class StreamOwner(Protocol):
    """The part of its connection that a stream uses."""

    def abandon(self, stream: Http2Stream) -> None:
        """Ends a stream whose response is not needed any more."""

    def resume(self, stream: Http2Stream) -> None:
        """Opens a stream's receive window again after a pause."""


class Http2Stream:
    """One request and its response; a `Carrier` of its work item.

    Attributes:
        item: The attempt or health check; None once its response is not needed any more.
        unsent_body: The part of the request's body that has not been sent.
        status: The response's status, 0 before its head is received.
        body_bytes: Received bytes of the response's body.
        is_forwarded: Whether the response is forwarded to a client.
        is_paused: Whether reading is paused for a slow client, so that the window is not opened again.
        uncredited_bytes: Received bytes for which the stream's window has not been opened again.
    """

    __slots__ = (
        "body_bytes", "connection", "headers", "is_forwarded", "is_paused", "item", "status", "stream_id",
        "uncredited_bytes", "unsent_body",
    )  # fmt: skip

    def __init__(self, connection: StreamOwner, stream_id: int, item: WorkItem) -> None:
        self.connection, self.stream_id = connection, stream_id
        self.item: WorkItem | None = item
        self.unsent_body = memoryview(b"")
        self.status = self.body_bytes = 0
        self.headers: dict[bytes, bytes] = {}
        self.is_forwarded = self.is_paused = False
        self.uncredited_bytes = 0

    def cancel(self, item: WorkItem) -> None:
        """Abandons the response."""
        self.item = None
        self.connection.abandon(self)

    def set_reading(self, item: WorkItem, on: bool) -> None:
        """Resumes (`on`) or pauses the response by the stream's window."""
        self.is_paused = not on
        if on:
            self.connection.resume(self)

    def read_head(self, fields: list[tuple[bytes, bytes]]) -> ResponseHead | None:
        """Reads the response's head; returns it if it is forwarded to a client, else None.

        Raises `InvalidResponseError`, or `ValueError` for a status that is not a number.
        """
        headers: dict[bytes, bytes] = {}
        for name, value in fields:
            if name == b"content-length" and name in headers:
                raise InvalidResponseError("two Content-Length fields")
            headers[name] = value
        self.headers, self.status = headers, int(headers[b":status"])
        length = read_content_length(headers)
        if (length is None and b"content-length" in headers) or (length or 0) > MAX_OBJECT_BYTES:
            raise InvalidResponseError("a Content-Length that is invalid or too large")
        if self.status not in (200, 304):
            return None
        etag = headers.get(b"tag")
        return ResponseHead(self.status == 304, length, etag.decode("latin-1") if etag else None)


def encode_fields(item: WorkItem, scheme: str, now_ms: float) -> list[Any]:
    """Returns the fields of a work item's request, pseudo-fields first (RFC 9113, section 8.3)."""
    method = "GET"
    fields: list[Any] = []
    if isinstance(item, Attempt):
        method, path = item.open_request.request.method, request_path(item)
        fields = [
            NeverIndexedHeaderTuple(name.lower(), value)
            if name in UNINDEXED_FIELDS
            else (name.lower(), value)
            for name, value in request_fields(item, now_ms)
        ]
    else:
        path = item.path
    return [
        (":method", method),
        (":scheme", scheme),
        (":authority", AUTHORITY),
        NeverIndexedHeaderTuple(":path", path),
        *fields,
    ]

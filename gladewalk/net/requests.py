"""Clients' requests in the platform's protocol: validation, and parsing into `ClientRequest`."""

from __future__ import annotations

import re

from ..core.exchange import ClientRequest
from ..errors import GladewalkError

MAX_WAIT_MS = 600_000.0  # longer than the deadline of any class
MAX_SIZE_KB = 1e9
CLASS_NAME = re.compile(r"[A-Za-z0-9._~-]{1,64}\Z")
OBJECT_NAME = re.compile(r"[0-9A-Fa-f]{1,16}\Z")
PART_IN_QUERY = re.compile(r"(?:^|&)nth=([^&]*)")  # the last match is used
PART = re.compile(r"[0-9]{1,9}\Z")
TRACE_ID = re.compile(r"[0-9A-Fa-f]{16}\Z")
IDEMPOTENCY_KEY = re.compile(rb"[\x21-\x7e]{1,128}\Z")  # one token, forwarded unchanged
NUMBER = re.compile(rb"[0-9]{1,15}(\.[0-9]{0,20})?\Z")
ETAG = re.compile(r'(?:W/)?"([\x21\x23-\x7e]*)"\Z')
# Fields that may occur only once.
SINGLE_FIELDS = {
    b"host", b"content-length", b"transfer-encoding", b"trace-id", b"max-wait-ms", b"x-batch", b"replay-key",
    b"is-retry",
}  # fmt: skip
# All fields that are used; a request's other fields are not kept.
USED_FIELDS = SINGLE_FIELDS | {b"reserve-kb", b"if-none-match", b"expect", b"connection", b"upgrade"}
REASONS = {
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}

Headers = dict[bytes, bytes]


class BadRequestError(GladewalkError):
    """A request that gets a response with a 4xx status."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


def _read_number(headers: Headers, name: bytes, maximum: float, default: float | None = None) -> float:
    text = headers.get(name)
    if text is None and default is not None:
        return default
    if text is None or not NUMBER.match(text) or not 0.0 <= (value := float(text)) <= maximum:
        raise BadRequestError(400)
    return value


def parse_request(method: str, path: str, query: str, headers: Headers, body: bytes) -> ClientRequest:
    """Parses a request; raises `BadRequestError` with the status of the response."""
    if method not in ("GET", "PUT"):
        raise BadRequestError(405)
    segments = path.split("/")  # of `/invoke/CLASS/OBJECT`
    if len(segments) != 4 or segments[:2] != ["", "invoke"]:
        raise BadRequestError(404)
    class_name, object_name = segments[2], segments[3]
    parts = PART_IN_QUERY.findall(query)
    part = parts[-1] if parts else "0"
    trace_id = headers.get(b"trace-id", b"").decode("latin-1")
    group = _read_number(headers, b"x-batch", 255, 0.0)
    if body and method == "GET":
        raise BadRequestError(400)
    has_valid_names = CLASS_NAME.match(class_name) and OBJECT_NAME.match(object_name)
    if not has_valid_names or not TRACE_ID.match(trace_id) or not PART.match(part) or group % 1.0:
        raise BadRequestError(400)
    key, retry = headers.get(b"replay-key"), headers.get(b"is-retry", b"0")
    if (key is not None and not IDEMPOTENCY_KEY.match(key)) or retry not in (b"0", b"1"):
        raise BadRequestError(400)
    condition = headers.get(b"if-none-match")
    etag = ETAG.match(condition.decode("latin-1").strip()) if condition else None
    return ClientRequest(
        trace_id=trace_id,
        method=method,
        class_name=class_name,
        object_name=object_name,
        key=int(object_name, 16),
        part=int(part),
        max_wait_ms=_read_number(headers, b"max-wait-ms", MAX_WAIT_MS),
        size_kb=_read_number(headers, b"reserve-kb", MAX_SIZE_KB, 0.0),
        group=int(group),
        etag=etag.group(1) if etag else None,
        idempotency_key=(key or b"").decode("ascii"),
        is_retry=retry == b"1",
        body=body,
    )

"""A client's request as the platform's protocol has it: what may be in it, and what it is read to."""

from __future__ import annotations

import re

from ..core.exchange import Ask

WAIT_MOST_MS = 600_000.0  # no class has patience for as long
CLASS = re.compile(r"[A-Za-z0-9._~-]{1,64}\Z")
OBJECT = re.compile(r"[0-9A-Fa-f]{1,16}\Z")
TRACE = re.compile(r"[0-9A-Fa-f]{16}\Z")
KEY = re.compile(rb"[\x21-\x7e]{1,128}\Z")  # one word, as it came: it goes on unchanged
NUMBER = re.compile(rb"[0-9]{1,15}(\.[0-9]{0,20})?\Z")
SINGLE = {
    b"host", b"content-length", b"transfer-encoding", b"trace-id", b"max-wait-ms", b"x-batch", b"replay-key",
    b"is-retry",
}  # fmt: skip
TAG = re.compile(r'(?:W/)?"([\x21\x23-\x7e]*)"\Z')
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


class BadRequest(Exception):
    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


def _number(headers: dict[bytes, bytes], name: bytes, most: float, default: float | None = None) -> float:
    text = headers.get(name)
    if text is None and default is not None:
        return default
    if text is None or not NUMBER.match(text) or not 0.0 <= (value := float(text)) <= most:
        raise BadRequest(400)
    return value


def read_ask(method: str, path: str, query: str, headers: dict[bytes, bytes], body: bytes) -> Ask:
    """A request as `PROTOCOL` describes it, or `BadRequest` with the status that says what is wrong."""
    if method not in ("GET", "PUT"):
        raise BadRequest(405)
    parts = path.split("/")
    if len(parts) != 4 or parts[:2] != ["", "invoke"]:
        raise BadRequest(404)
    part = "0"
    for pair in query.split("&"):
        if pair.startswith("nth="):
            part = pair[4:]
    trace, group = headers.get(b"trace-id", b"").decode("latin-1"), _number(headers, b"x-batch", 255, 0.0)
    if body and method == "GET":
        raise BadRequest(400)
    good = CLASS.match(parts[2]) and OBJECT.match(parts[3]) and TRACE.match(trace)
    if not good or not (part.isascii() and part.isdigit() and len(part) < 10) or group % 1.0:
        raise BadRequest(400)
    replay_key, retry = headers.get(b"replay-key"), headers.get(b"is-retry", b"0")
    if (replay_key is not None and not KEY.match(replay_key)) or retry not in (b"0", b"1"):
        raise BadRequest(400)
    held = headers.get(b"if-none-match")
    tag = TAG.match(held.decode("latin-1").strip()) if held else None
    return Ask(
        trace=trace,
        method=method,
        class_name=parts[2],
        object_name=parts[3],
        key=int(parts[3], 16),
        part=int(part),
        wait_ms=_number(headers, b"max-wait-ms", WAIT_MOST_MS),
        size_kb=_number(headers, b"reserve-kb", 1e9, 0.0),
        group=int(group),
        tag=tag.group(1) if tag else None,
        replay_key=(replay_key or b"").decode("ascii"),
        is_retry=retry == b"1",
        body=body,
    )

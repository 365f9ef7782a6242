"""Reads and encodes the HTTP/1.1 messages of stand-in servers and clients."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

DEFAULT_WAIT_MS = 3_000.0
DEFAULT_TRACE_ID = "9b1f03aa5c7e2d41"


class Http1Message(NamedTuple):
    """A request or a response; header names are in lower case."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status code of a response."""
        return parse_status(self.start_line)


def parse_status(status_line: str) -> int:
    """Returns the status code from a response's status line."""
    return int(status_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads the start line and the headers of a message.

    Raises:
        asyncio.IncompleteReadError: The connection ended before the end of the headers.
    """
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:-2])
    return lines[0], {name.lower(): value.strip() for name, _, value in pairs}


async def read_message(reader: asyncio.StreamReader) -> Http1Message:
    """Reads a message; without `Content-Length` its body is empty.

    Raises:
        asyncio.IncompleteReadError: The connection ended within the message.
    """
    start_line, headers = await read_head(reader)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Http1Message(start_line, headers, body)


def header_names(keywords: Mapping[str, str]) -> dict[str, str]:
    """Converts keyword arguments to headers: `X_Remark` becomes `X-Remark`."""
    return {name.replace("_", "-"): value for name, value in keywords.items()}


def encode_message(start_line: str, headers: Mapping[str, object], body: bytes = b"") -> bytes:
    """Encodes a message with these headers only; `Content-Length` is not added."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def encode_request(
    path: str, method: str = "GET", wait_ms: float = DEFAULT_WAIT_MS, body: bytes = b"", **fields: str
) -> bytes:
    """Encodes a client's request to a director.

    Args:
        path: The target, for example `/invoke/CLASS/OBJECT?nth=PART`.
        method: The method.
        wait_ms: How long the client waits (`Max-Wait-Ms`).
        body: The content; if there is any, `Content-Length` is added.
        **fields: Further headers (see `header_names`); `trace` is the trace id.
    """
    trace_id = fields.pop("trace", DEFAULT_TRACE_ID)
    headers = {"Host": "app.svc", "Max-Wait-Ms": str(wait_ms), "Trace-Id": trace_id, **header_names(fields)}
    if body:
        headers["Content-Length"] = str(len(body))
    return encode_message(f"{method} {path} HTTP/1.1", headers, body)

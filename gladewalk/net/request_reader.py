"""Parses requests through the callbacks of httptools, within size limits."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable
from typing import Protocol

import httptools

from .requests import SINGLE_FIELDS, BadRequestError

MAX_HEADER_BYTES = 16 * 1024


class ReadLimits(Protocol):
    """The listener's clock and body size limit, as the reader uses them."""

    clock: Callable[[], float]
    max_body_bytes: int


class RequestReader:
    """The request that is being read; an invalid one raises `BadRequestError`.

    Attributes:
        has_partial_request: Its first byte has been read, but not its last one.
        has_complete_head: Its head is complete.
        request_began_ms: When its first byte was read, steady milliseconds.
        read_bytes: Bytes of its head that have been read, then bytes of its body.
        framing_bytes: Bytes read since the last byte of a body.
    """

    def __init__(self, limits: ReadLimits) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.has_partial_request = self.has_complete_head = False
        self.request_began_ms = 0.0
        self.url, self.read_bytes = b"", 0
        self.framing_bytes = 0
        self.headers: dict[bytes, bytes] = {}
        self.body_pieces: list[bytes] = []
        self._limits = limits

    @abstractmethod
    def _continue_expected(self) -> None:
        """Called if the client waits for `100 Continue` before the body (RFC 9110, section 10.1.1)."""

    def on_message_begin(self) -> None:
        """Starts a new request at its first byte."""
        self.url, self.read_bytes, self.framing_bytes, self.headers, self.body_pieces = b"", 0, 0, {}, []
        self.has_partial_request, self.has_complete_head = True, False
        self.request_began_ms = self._limits.clock()

    def on_url(self, url: bytes) -> None:
        """Adds a piece of the request target."""
        self._count_bytes(len(url), MAX_HEADER_BYTES, 431)
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a field of the head or the trailer."""
        self.read_bytes += len(name) + len(value)
        if self.read_bytes > MAX_HEADER_BYTES:
            raise BadRequestError(431)
        name = name.lower()
        if name in self.headers and name in SINGLE_FIELDS:  # other parsers may use the other value
            raise BadRequestError(400)
        self.headers[name] = value

    def on_headers_complete(self) -> None:
        """Checks the complete head; rejects a body of ambiguous length (RFC 9112, section 6.3)."""
        self.read_bytes, self.has_complete_head = 0, True
        length, coding = self.headers.get(b"content-length"), self.headers.get(b"transfer-encoding")
        # A body whose end is ambiguous may hide another request (request smuggling).
        if coding is not None and (length is not None or coding.lower() != b"chunked"):
            raise BadRequestError(400)
        if length is not None and (not length.isdigit() or len(length) > 15):
            raise BadRequestError(400)
        self._count_bytes(int(length or b"0"), self._limits.max_body_bytes, 413)
        self.read_bytes = 0
        if self.headers.get(b"expect", b"").lower() == b"100-continue":
            self._continue_expected()

    def on_body(self, body: bytes) -> None:
        """Adds a piece of the body."""
        self._count_bytes(len(body), self._limits.max_body_bytes, 413)
        self.framing_bytes = 0
        self.body_pieces.append(body)

    def _count_bytes(self, count: int, maximum: int, status: int) -> None:
        self.read_bytes += count
        if self.read_bytes > maximum:
            raise BadRequestError(status)

"""Parses requests through the callbacks of httptools, within size limits."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable
from typing import Protocol

import httptools

from .requests import SINGLE_FIELDS, USED_FIELDS, BadRequestError
from .sockets import MAX_FRAMING_BYTES

MAX_HEADER_BYTES = 16 * 1024
MAX_FIELDS = 100  # of a head and its trailer together, as in Apache's LimitRequestFields
MAX_BLANK_BYTES = 1_024  # of empty lines before a request, which a server should skip (RFC 9112, section 2.2)
FIELD_BYTES = 256  # memory of one kept field beside its name and value


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
        field_count: Number of its fields that have been read.
        headers: Its fields that are used; others are only counted.
        body: Its body as far as it was read, in one piece however it arrived.
        framing_bytes: Bytes read since the last byte of a body.
        blank_bytes: Bytes read since the last request began.
    """

    keeps_all_fields = False
    """Whether fields are kept that the platform's protocol does not know."""

    def __init__(self, limits: ReadLimits) -> None:
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.has_partial_request = self.has_complete_head = False
        self.request_began_ms = 0.0
        self.url, self.read_bytes = b"", 0
        self.framing_bytes = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.field_count = 0
        self.blank_bytes = 0
        self._limits = limits

    def parse(self, data: bytes) -> int | None:
        """Parses a piece of input; returns a 4xx status if it is invalid or over a limit.

        No further input may be parsed then, nor after `close_parser`.
        """
        assert self.parser is not None
        in_head = self.has_partial_request and not self.has_complete_head
        self.framing_bytes += len(data)
        self.blank_bytes = 0 if self.has_partial_request else self.blank_bytes + len(data)
        try:
            self.parser.feed_data(data)
            if in_head and self.has_partial_request and not self.has_complete_head:  # limits field size
                self._count_bytes(len(data), MAX_HEADER_BYTES, 431)
        except BadRequestError as error:
            return error.status
        except httptools.HttpParserCallbackError as error:
            status = _status_of(error)
            if status is None:
                raise
            return status
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return 400
        if self.has_partial_request and self.framing_bytes > MAX_FRAMING_BYTES:
            return 413
        return 400 if self.blank_bytes > MAX_BLANK_BYTES and not self.has_partial_request else None

    def close_parser(self) -> None:
        """Drops the parser, which refers to its reader: the cycle would stay until the next collection."""
        self.parser = None

    def held_bytes(self) -> int:
        """Returns about how much memory the request that is being read takes."""
        if not self.has_partial_request:
            return 0
        head_bytes = 0 if self.has_complete_head else self.read_bytes
        return head_bytes + len(self.url) + len(self.headers) * FIELD_BYTES + len(self.body)

    def forget_request(self) -> None:
        """Keeps nothing of a request that was read or rejected."""
        self.url, self.headers, self.body = b"", {}, bytearray()

    @abstractmethod
    def _continue_expected(self) -> None:
        """Called if the client waits for `100 Continue` before the body (RFC 9110, section 10.1.1)."""

    def on_message_begin(self) -> None:
        """Starts a new request at its first byte."""
        self.forget_request()
        self.read_bytes = self.framing_bytes = self.blank_bytes = self.field_count = 0
        self.has_partial_request, self.has_complete_head = True, False
        self.request_began_ms = self._limits.clock()

    def on_url(self, url: bytes) -> None:
        """Adds a piece of the request target."""
        self._count_bytes(len(url), MAX_HEADER_BYTES, 431)
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a field of the head or the trailer."""
        self.read_bytes += len(name) + len(value)
        self.field_count += 1
        if self.read_bytes > MAX_HEADER_BYTES or self.field_count > MAX_FIELDS:
            raise BadRequestError(431)
        name = name.lower()
        if name in self.headers and name in SINGLE_FIELDS:  # other parsers may use the other value
            raise BadRequestError(400)
        if self.keeps_all_fields or name in USED_FIELDS:
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
        self.body += body

    def _count_bytes(self, count: int, maximum: int, status: int) -> None:
        self.read_bytes += count
        if self.read_bytes > maximum:
            raise BadRequestError(status)


def _status_of(error: httptools.HttpParserCallbackError) -> int | None:
    """Returns the status of an invalid request that a callback has found; None for any other error.

    A variable of `parse` that held the cause would form a cycle with its traceback, and keep the input.
    """
    cause = error.__context__ or error.__cause__
    return cause.status if isinstance(cause, BadRequestError) else None

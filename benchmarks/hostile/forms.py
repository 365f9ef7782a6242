"""Forms of hostile peers: what a client sends, what a server answers, what a coordinator says.

Each form is a function of a peer's number, so that ids and names differ between peers, and repeatable.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from gladewalk.rehearsal.http_messages import encode_request
from gladewalk.rehearsal.scripted_servers import Http1Script, ReceivedRequest

WAIT_MS = 3_000.0
LARGE_WRITE_BYTES = 48_000  # the most that a write of the platform carries
TINY_CHUNK = b"2\r\nab\r\n"
MANY_FIELDS = 5_000
CHUNKS_OF_A_WRITE = 30_000
CHUNKS_OF_A_RESPONSE = 100_000
PIPELINED_WRITES = 8

ClientInput = Callable[[int], bytes]


def _trace_id(peer: int, number: int = 0) -> str:
    return f"{peer * 1_000 + number:016x}"


def _write(peer: int, number: int, body: bytes) -> bytes:
    path = f"/invoke/bid/{peer * 16 + number + 1:x}?nth=0"
    return encode_request(path, "PUT", WAIT_MS, body, trace=_trace_id(peer, number))


def _open_head(peer: int) -> bytes:
    """Returns the beginning of a write, without the end of its head."""
    path = f"/invoke/bid/{peer + 1:x}?nth=0"
    return encode_request(path, "PUT", WAIT_MS, trace=_trace_id(peer))[:-2]


def _short_fields(count: int) -> bytes:
    return b"".join(b"%x:\r\n" % number for number in range(count))


def half_written_body(peer: int) -> bytes:
    """Returns a write that stops half way through its body."""
    return _open_head(peer) + b"Content-Length: 65000\r\n\r\n" + b"x" * 64_000


def pipelined_writes(peer: int) -> bytes:
    """Returns as many of the largest writes as a connection may have queued, all at once."""
    return b"".join(_write(peer, number, b"x" * LARGE_WRITE_BYTES) for number in range(PIPELINED_WRITES))


def short_fields_open(peer: int) -> bytes:
    """Returns a head of very many short fields that does not end."""
    return _open_head(peer) + _short_fields(MANY_FIELDS)


def short_fields_whole(peer: int) -> bytes:
    """Returns a whole request with very many short fields, in few bytes."""
    return _open_head(peer) + _short_fields(MANY_FIELDS * 4 // 5) + b"\r\n"


def tiny_chunks(peer: int) -> bytes:
    """Returns a write in chunks of two bytes, without its end."""
    return _open_head(peer) + b"Transfer-Encoding: chunked\r\n\r\n" + TINY_CHUNK * CHUNKS_OF_A_WRITE


def read_of_one_object(peer: int, wait_ms: float = WAIT_MS) -> bytes:
    """Returns an ordinary read."""
    return encode_request(f"/invoke/lot-page/{peer + 1:x}?nth=0", wait_ms=wait_ms, trace=_trace_id(peer))


CROWDS: dict[str, ClientInput] = {
    form.__name__: form
    for form in (half_written_body, pipelined_writes, short_fields_open, short_fields_whole, tiny_chunks)
}
"""Forms of which each of hundreds of clients sends one, and then waits."""


async def never_respond(request: ReceivedRequest) -> None:
    """Takes a request and answers nothing."""
    await asyncio.Event().wait()


async def respond_in_tiny_chunks(request: ReceivedRequest) -> None:
    """Begins a response in chunks of two bytes and does not end it."""
    request.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTag: a\r\nMade-At: 1\r\n\r\n")
    request.writer.write(TINY_CHUNK * CHUNKS_OF_A_RESPONSE)
    await asyncio.Event().wait()


async def respond_with_many_fields(request: ReceivedRequest) -> None:
    """Sends a head of very many short fields without its end."""
    request.writer.write(b"HTTP/1.1 200 OK\r\n" + _short_fields(MANY_FIELDS * 4 // 5))
    await asyncio.Event().wait()


@dataclass(frozen=True, slots=True)
class Crowd:
    """Hundreds of clients that each send `client_input` at servers that follow `script`."""

    client_input: ClientInput
    script: Http1Script = never_respond


SERVER_CROWDS: dict[str, Http1Script] = {
    script.__name__: script for script in (respond_in_tiny_chunks, respond_with_many_fields)
}

ALL_CROWDS: dict[str, Crowd] = {
    **{name: Crowd(client_input) for name, client_input in CROWDS.items()},
    **{name: Crowd(read_of_one_object, script) for name, script in SERVER_CROWDS.items()},
}

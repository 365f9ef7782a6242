"""A coordinator or a server that floods whoever connects, as a process of its own.

    python -m benchmarks.hostile.flooding_listener FORM

It prints the port that it listens at on loopback and runs until it is ended. A coordinator first sends the
line that names the last event; a server floods in response to each request but health checks.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
from collections.abc import Callable, Iterator

PIECE_BYTES = 65_536
PURGE_LINE = b'{"index":%d,"evict":{"ref":"%x","unix_ms":%d}}\n'
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTag: a\r\nMade-At: 1\r\n\r\n"
HEALTHY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
START_UNIX_MS = 1_764_576_000_000

Pieces = Callable[[int], Iterator[bytes]]


def _repeat(start: bytes, piece: bytes) -> Pieces:
    def pieces(_: int) -> Iterator[bytes]:
        yield start
        yield from itertools.repeat(piece * (PIECE_BYTES // len(piece)))

    return pieces


def _heartbeats(last_index: int) -> Iterator[bytes]:
    yield from itertools.repeat((b"%d\n" % last_index) * (PIECE_BYTES // 4))


def _old_events(last_index: int) -> Iterator[bytes]:
    line = PURGE_LINE % (last_index, 1, START_UNIX_MS)
    yield from itertools.repeat(line * (PIECE_BYTES // len(line)))


def _purges(last_index: int) -> Iterator[bytes]:
    for first in itertools.count(last_index + 1, 500):
        yield b"".join(PURGE_LINE % (index, index, START_UNIX_MS) for index in range(first, first + 500))


COORDINATORS: dict[str, Pieces] = {
    "heartbeats": _heartbeats,
    "old_events": _old_events,
    "purges": _purges,
    "unsound_lines": _repeat(b"", b"{]\n"),
    "endless_line": _repeat(b"{", b" " * 1_024),
    "deep_lines": _repeat(b"", b'{"index":' + b"[" * 400 + b"\n"),
}
"""What a flooding coordinator sends after the number of the last event, by the name of the form."""

SERVERS: dict[str, Pieces] = {
    "endless_tiny_chunks": _repeat(RESPONSE_HEAD, b"1\r\na\r\n"),
    "endless_interim": _repeat(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "endless_head": _repeat(b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
    "responses_without_end": _repeat(b"", HEALTHY),
    "noise": _repeat(b"", b"\x00\xff\r\n:: /"),
}
"""What a flooding server answers to each request, by the name of the form."""


async def _flood(writer: asyncio.StreamWriter, pieces: Iterator[bytes]) -> None:
    for piece in pieces:
        writer.write(piece)
        await writer.drain()


class FloodingListener:
    """Serves one form on loopback."""

    def __init__(self, form: str) -> None:
        self._form = form

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Floods one connection until its peer ends it."""
        try:
            if self._form in COORDINATORS:
                last_index = int((await reader.readline()).split()[1])
                writer.write(b"%d\n" % last_index)
                await asyncio.sleep(1.0)  # the director is ready by then
                await _flood(writer, COORDINATORS[self._form](last_index))
            while (await reader.readuntil(b"\r\n\r\n")).startswith(b"GET /load"):
                writer.write(HEALTHY)
            await _flood(writer, SERVERS[self._form](0))
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


async def main(form: str) -> None:
    """Listens, prints the port and serves."""
    server = await asyncio.start_server(FloodingListener(form).serve, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))

"""Floods a director from a process of its own.

    python -m benchmarks.hostile.flood FORM HOST PORT PEERS SECONDS

Each peer has one connection at a time, writes at full speed and connects again when the director ends it. The
process prints how many bytes were written and how many connections were made.
"""

from __future__ import annotations

import contextlib
import itertools
import selectors
import socket
import sys
import time
from collections.abc import Callable, Iterator

from gladewalk.rehearsal.http_messages import encode_request

WAIT_MS = 3_000.0
PIECE_BYTES = 65_536
READ_BYTES = 65_536
SELECT_TIMEOUT_S = 0.05
CONNECT_PAUSE_S = 0.001
CHUNKED_HEAD = encode_request("/invoke/bid/b1", "PUT", WAIT_MS, transfer_encoding="chunked")

Pieces = Callable[[], Iterator[bytes]]


def _repeat(start: bytes, piece: bytes) -> Pieces:
    def pieces() -> Iterator[bytes]:
        if start:
            yield start
        yield from itertools.repeat(piece * (PIECE_BYTES // len(piece)))

    return pieces


def _requests(path: Callable[[int], str], trace: Callable[[int], str]) -> Pieces:
    numbers = itertools.count(int(time.time() * 1_000_000))

    def pieces() -> Iterator[bytes]:
        for number in numbers:
            yield encode_request(path(number), wait_ms=WAIT_MS, trace=trace(number))

    return pieces


def _connect_only() -> Iterator[bytes]:
    yield b""


FLOODS: dict[str, Pieces] = {
    "empty_lines": _repeat(b"", b"\r\n"),
    "one_byte_chunks": _repeat(CHUNKED_HEAD, b"1\r\na\r\n"),
    "health_checks": _repeat(b"", b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"),
    "unknown_classes": _requests(
        lambda number: f"/invoke/c{number}/a1?nth=0", lambda number: f"{number:016x}"
    ),
    "unsound_ids": _requests(lambda number: "/invoke/lot-page/a1?nth=0", lambda number: f"x{number}"),
    "new_objects": _requests(
        lambda number: f"/invoke/lot-page/{number:x}?nth=0", lambda number: f"{number:016x}"
    ),
    "noise": _repeat(b"", b"\x00\xff\r\n:: /\x16\x03\x01"),
    "connects": _connect_only,
}
"""What a flooding client writes, by the name of the form; the pieces are written one after another."""

ONE_AT_A_TIME = ("unknown_classes", "unsound_ids", "new_objects")
"""Forms that read a response before they send the next request, as the protocol wants it."""


class Peer:
    """One flooding client: its connection, what it has yet to write, and whether it waits for a response."""

    def __init__(self, form: str, address: tuple[str, int]) -> None:
        self.form, self.address = form, address
        self.socket: socket.socket | None = None
        self.connection_count = self.written_bytes = 0
        self._pieces: Iterator[bytes] = iter(())
        self._unsent = b""
        self._is_waiting = False

    def connect(self) -> None:
        """Opens a new connection; without success the next call tries again."""
        self.socket = None
        with contextlib.suppress(OSError):
            self.socket = socket.create_connection(self.address, timeout=1.0)
            self.socket.setblocking(False)
            self.connection_count += 1
        self._pieces, self._unsent, self._is_waiting = FLOODS[self.form](), b"", False

    def write(self) -> bool:
        """Writes as much as the socket takes; False if the connection has ended."""
        assert self.socket is not None
        if self._is_waiting:
            return True
        self._unsent = self._unsent or next(self._pieces, b"")
        if not self._unsent:
            return False
        try:
            count = self.socket.send(self._unsent)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self.written_bytes += count
        self._unsent = self._unsent[count:]
        self._is_waiting = self.form in ONE_AT_A_TIME and not self._unsent
        return True

    def read(self) -> bool:
        """Reads what has arrived; False if the connection has ended."""
        assert self.socket is not None
        try:
            data = self.socket.recv(READ_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self._is_waiting = False
        return bool(data)

    def close(self) -> None:
        """Closes the connection, if there is one."""
        if self.socket is not None:
            self.socket.close()
            self.socket = None


def _serve(peer: Peer, selector: selectors.BaseSelector, events: int) -> None:
    is_open = not events & selectors.EVENT_READ or peer.read()
    is_open = is_open and (not events & selectors.EVENT_WRITE or peer.write())
    if not is_open and peer.socket is not None:
        selector.unregister(peer.socket)
        peer.close()


def flood(form: str, address: tuple[str, int], peer_count: int, duration_s: float) -> tuple[int, int]:
    """Floods for `duration_s`; returns the bytes written and the connections made."""
    peers = [Peer(form, address) for _ in range(peer_count)]
    selector = selectors.DefaultSelector()
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        for peer in peers:
            if peer.socket is None:
                peer.connect()
                if peer.socket is not None:
                    selector.register(peer.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, peer)
        for key, events in selector.select(SELECT_TIMEOUT_S):
            _serve(key.data, selector, events)
    for peer in peers:
        peer.close()
    return sum(peer.written_bytes for peer in peers), sum(peer.connection_count for peer in peers)


def main(arguments: list[str]) -> int:
    """Runs a flood as the command line says."""
    form, host, port, peer_count, duration_s = arguments
    written, connections = flood(form, (host, int(port)), int(peer_count), float(duration_s))
    print(f"{form}: written={written} connections={connections}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
